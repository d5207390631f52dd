package main

import (
	"encoding/json"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/groupemulator"
	"github.com/endiveturn/endiveturn/storeemulator"
)

// A standinCommand runs a stand-in until it receives SIGTERM or SIGINT.
type standinCommand struct {
	Store standinStoreCommand `command:"store" description:"run a stand-in of the platform's store"`
	Group standinGroupCommand `command:"group" description:"run a stand-in of a database group"`

	env *environment
}

// Execute implements flags.Commander. go-flags would call it only without a
// subcommand, which go-flags itself rejects.
func (c *standinCommand) Execute([]string) error { return errors.New("store or group is required") }

type standinStoreCommand struct {
	Address string        `long:"address" default:"127.0.0.1:2379" description:"address to listen on"`
	CopyAge time.Duration `long:"copy-age" default:"3s" description:"age of the copy from which the store comes back at SIGUSR1"`

	env *environment
}

// Execute implements flags.Commander.
func (c *standinStoreCommand) Execute([]string) error {
	logger := c.env.logger(slog.LevelInfo)
	e := &storeemulator.Emulator{Address: c.Address, Logger: logger}
	restore := make(chan os.Signal, 1)
	signal.Notify(restore, syscall.SIGUSR1)
	defer signal.Stop(restore)
	go func() {
		for {
			select {
			case <-restore:
				e.Restore(c.CopyAge)
				logger.Info("store_emulator_restored", "copy_age", c.CopyAge)
			case <-c.env.ctx.Done():
				return
			}
		}
	}()
	return e.Run(c.env.ctx)
}

type standinGroupCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"group description in JSON"`
	} `positional-args:"yes" required:"yes"`

	env *environment
}

// Execute implements flags.Commander.
func (c *standinGroupCommand) Execute([]string) error {
	content, err := os.ReadFile(c.Args.File)
	if err != nil {
		return errors.Wrap(err, "read group description")
	}
	group, err := parseGroup(content)
	if err != nil {
		return errors.WithMessage(err, c.Args.File)
	}
	group.Logger = c.env.logger(slog.LevelInfo)
	return group.Run(c.env.ctx)
}

type groupDescription struct {
	Service  string              `json:"service"`
	User     string              `json:"user"`
	Password string              `json:"password"`
	Members  []memberDescription `json:"members"`
}

type memberDescription struct {
	Name          string `json:"name"`
	DataCentre    string `json:"data_centre"`
	Address       string `json:"address"`
	Slots         int    `json:"slots"`
	Connections   int    `json:"connections"`
	ApplyLag      string `json:"apply_lag"`
	StatementCost string `json:"statement_cost"`
}

func parseGroup(content []byte) (*groupemulator.Group, error) {
	var description groupDescription
	if err := json.Unmarshal(content, &description); err != nil {
		return nil, errors.Wrap(err, "parse group description")
	}
	if len(description.Members) == 0 {
		return nil, errors.New("members: a group needs at least one database")
	}
	group := &groupemulator.Group{Service: description.Service, User: description.User, Password: description.Password}
	for _, m := range description.Members {
		member := groupemulator.Member{
			Name: m.Name, DataCentre: m.DataCentre, Address: m.Address,
			Slots: max(1, m.Slots), Connections: max(1, m.Connections),
		}
		for _, d := range []struct {
			field string
			text  string
			value *time.Duration
		}{{"apply_lag", m.ApplyLag, &member.ApplyLag}, {"statement_cost", m.StatementCost, &member.StatementCost}} {
			if d.text == "" {
				continue
			}
			duration, err := time.ParseDuration(d.text)
			if err != nil {
				return nil, errors.Wrapf(err, "database %s: %s", m.Name, d.field)
			}
			*d.value = duration
		}
		group.Members = append(group.Members, member)
	}
	return group, nil
}
