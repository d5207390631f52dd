package main

import (
	"log/slog"
	"time"

	"github.com/endiveturn/endiveturn/measurer"
)

// A demoCommand demonstrates the proxy with stand-ins of the store and of the
// databases in this process.
type demoCommand struct {
	Log bool `long:"log" description:"write the log lines of hosts and stand-ins"`

	env *environment
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	logger := slog.New(slog.DiscardHandler)
	if c.Log {
		logger = c.env.logger(slog.LevelInfo)
	}
	demo := &measurer.Demo{Output: c.env.stdout, Logger: logger, StepTimeout: 15 * time.Second}
	return demo.Run(c.env.ctx)
}
