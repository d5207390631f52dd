package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/endiveturn/endiveturn/server"
	"github.com/endiveturn/endiveturn/storer"
)

// A serveCommand runs one host until it receives SIGTERM or SIGINT.
type serveCommand struct {
	DryRun bool `long:"dry-run" description:"check the settings and stop"`
	Args   struct {
		Settings string `positional-arg-name:"SETTINGS" description:"settings file in JSON"`
	} `positional-args:"yes" required:"yes"`

	env *environment
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	settings, err := server.ReadSettings(c.Args.Settings)
	if err != nil {
		return err
	}
	if _, err := settings.TLS(); err != nil {
		return err
	}
	if c.DryRun {
		fmt.Fprintf(c.env.stdout, "settings of host %s are valid\n", settings.Host)
		return nil
	}
	if settings.MemoryMegabytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMegabytes<<20)))
	}
	logger := c.env.logger(settings.LogLevel)
	store := &storer.Client{Addresses: settings.StoreAddresses, Timeout: settings.StoreTimeout, Logger: logger}
	defer store.Close()
	s := &server.Server{Settings: settings, Store: store, Logger: logger}
	ctx := context.WithoutCancel(c.env.ctx)
	if err := s.Prepare(ctx); err != nil {
		return err
	}
	unregister := context.AfterFunc(c.env.ctx, func() {
		stopCtx, cancel := context.WithTimeout(ctx, settings.StopTimeout)
		defer cancel()
		s.Stop(stopCtx)
	})
	defer unregister()
	return s.Run(ctx)
}
