// Package access holds the flags by which commands reach an instance.
package access

import (
	"github.com/urfave/cli/v3"

	"github.com/rhubarbwick/rhubarbwick/adapter/operator"
)

// Options say which instance a command asks.
type Options struct {
	Instance string
	Password string
}

// Flags returns the flags that fill the options.
func (o *Options) Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:        "instance",
			Usage:       "the operators' `URL` of any instance",
			Value:       "http://127.0.0.1:6434",
			Sources:     cli.EnvVars("RHUBARBWICK_INSTANCE"),
			Destination: &o.Instance,
		},
		&cli.StringFlag{
			Name:        "password",
			Usage:       "the operators' password; better set RHUBARBWICK_PASSWORD",
			Sources:     cli.EnvVars("RHUBARBWICK_PASSWORD"),
			Destination: &o.Password,
		},
	}
}

// Client returns a client of the instance.
func (o *Options) Client() *operator.Client { return operator.NewClient(o.Instance, o.Password) }
