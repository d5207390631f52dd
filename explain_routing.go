package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/hoster"
)

const (
	// explainTimeout bounds a query to a host, and maxExplanation its response in bytes.
	explainTimeout = 5 * time.Second
	maxExplanation = 1 << 20
)

// An explainRoutingCommand asks a host where it would route a request now.
type explainRoutingCommand struct {
	Host         string        `long:"host" required:"yes" description:"metrics address of a host, or its readiness address if it has none"`
	Service      string        `long:"service" description:"service of the request"`
	Consistency  string        `long:"consistency" default:"primary" choice:"primary" choice:"bounded" choice:"read_your_writes" description:"consistency of the route"`
	Database     string        `long:"database" description:"database name that the client requests, instead of service and consistency"`
	Customer     string        `long:"customer" description:"customer of the request"`
	Write        bool          `long:"write" description:"the request writes"`
	MaxStaleness time.Duration `long:"max-staleness" description:"age of the data that a bounded read accepts; the default is that of the route"`
	Token        string        `long:"token" description:"position of the session's last commit, as TERM/OFFSET"`
	JSON         bool          `long:"json" description:"print JSON"`

	env *environment
}

// Execute implements flags.Commander.
func (c *explainRoutingCommand) Execute([]string) error {
	if (c.Service == "") == (c.Database == "") {
		return errors.New("give either --service or --database")
	}
	ctx, cancel := context.WithTimeout(c.env.ctx, explainTimeout)
	defer cancel()
	query := hoster.RoutingQuery{
		Database: c.Database, Service: c.Service, Consistency: c.Consistency, Customer: c.Customer, Write: c.Write,
		MaxStaleness: c.MaxStaleness, Token: c.Token,
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, query.URL(c.Host), nil)
	if err != nil {
		return errors.Wrap(err, "query")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "query")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxExplanation))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("host responded %s: %s", response.Status, strings.TrimSpace(string(content)))
	}
	if c.JSON {
		fmt.Fprintf(c.env.stdout, "%s", content)
		return nil
	}
	return hoster.WriteExplanation(c.env.stdout, content)
}
