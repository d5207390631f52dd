package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/messenger"
	"github.com/endiveturn/endiveturn/server"
)

// A statusCommand prints the status that hosts report.
type statusCommand struct {
	Host   []string `long:"host" env:"ENDIVETURN_HOST" env-delim:"," required:"yes" description:"peer address of a host; may be repeated"`
	Format string   `long:"format" default:"text" choice:"text" choice:"json" description:"text or json"`

	env *environment
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client := &messenger.Client{Logger: c.env.logger(slog.LevelError)}
	defer client.Close()
	failed := 0
	for _, address := range c.Host {
		if err := c.showHost(client, address); err != nil {
			fmt.Fprintf(c.env.stderr, "%s: %v\n", address, err)
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d hosts did not reply", failed, len(c.Host))
	}
	return nil
}

func (c *statusCommand) showHost(client *messenger.Client, address string) error {
	ctx, cancel := context.WithTimeout(c.env.ctx, 2*time.Second)
	defer cancel()
	content, err := client.Status(ctx, address)
	if err != nil {
		return err
	}
	if c.Format == formatJSON {
		fmt.Fprintf(c.env.stdout, "%s\n", content)
		return nil
	}
	status, err := server.DecodeStatus(content)
	if err != nil {
		return err
	}
	return printStatus(c.env.stdout, status)
}

func printStatus(w io.Writer, s server.Status) error {
	fmt.Fprintf(w, "host %s in %s: %s, revision %d, fresh %v, %d connections, up %v\n",
		s.Host, s.DataCentre, s.State, s.Revision, s.Fresh, s.Connections, s.Uptime.Round(time.Second))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tDATA CENTRE\tSTATE\tREVISION\tAGE")
	for _, h := range s.Hosts {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%v\n", h.Name, h.DataCentre, h.State, h.Revision, h.Age.Round(time.Millisecond))
	}
	if len(s.Services) > 0 {
		fmt.Fprintln(table, "SERVICE\tPRIMARY\tTERM\tHELD\t")
	}
	for _, service := range s.Services {
		fmt.Fprintf(table, "%s\t%s\t%d\t%v\t\n", service.Name, service.Primary, service.Term, service.Held)
		for _, d := range service.Databases {
			fmt.Fprintf(table, "  %s\t%s\tlag %d\trunning %d, queued %d\tconnections %d\n",
				d.Name, d.Role, d.Lag, d.Running, d.Queued, d.Connections)
		}
	}
	if len(s.Customers) > 0 {
		fmt.Fprintln(table, "CUSTOMER\tSERVICE\tTOKENS\tBURST\tRATE")
	}
	for _, customer := range s.Customers {
		fmt.Fprintf(table, "%s\t%s\t%.1f\t%.1f\t%.1f\n", customer.Customer, customer.Service, customer.Tokens, customer.Burst, customer.Rate)
	}
	return errors.WithStack(table.Flush())
}
