// Package access contains the flags with which test clients connect to an instance.
package access

import (
	"net/url"

	"github.com/urfave/cli/v3"
)

// Options identify the instance and the credentials of a client.
type Options struct {
	Address      string
	Organisation string
	Key          string
	Route        string
}

// Flags returns the flags that set the options, with the extra flags of the command.
func (o *Options) Flags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "address", Usage: "address of the instance", Required: true, Destination: &o.Address},
		&cli.StringFlag{Name: "organisation", Usage: "user name", Required: true, Destination: &o.Organisation},
		&cli.StringFlag{Name: "key", Usage: "password", Destination: &o.Key},
		&cli.StringFlag{Name: "route", Usage: "database name", Required: true, Destination: &o.Route},
	}, extra...)
}

// URL returns the connection URL for PostgreSQL clients. It contains the key.
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
