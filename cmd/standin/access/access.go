// Package access holds the flags with which the stand-ins for callers log in at an instance.
package access

import (
	"net/url"

	"github.com/urfave/cli/v3"
)

// Options say at which instance and as whom a caller logs in.
type Options struct {
	Address      string
	Organisation string
	Key          string
	Route        string
}

// Flags returns the flags that fill the options, followed by the command's own.
func (o *Options) Flags(own ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "address", Usage: "address of the instance", Required: true, Destination: &o.Address},
		&cli.StringFlag{Name: "organisation", Usage: "user name", Required: true, Destination: &o.Organisation},
		&cli.StringFlag{Name: "key", Usage: "password", Destination: &o.Key},
		&cli.StringFlag{Name: "route", Usage: "database name", Required: true, Destination: &o.Route},
	}, own...)
}

// URL returns the address in the form that PostgreSQL clients take. It contains the key.
func (o *Options) URL() string {
	target := url.URL{
		Scheme:   "postgres",
		User:     url.UserPassword(o.Organisation, o.Key),
		Host:     o.Address,
		Path:     "/" + o.Route,
		RawQuery: "sslmode=disable",
	}
	return target.String()
}
