package main

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
)

// Kinds of objects that can be taken out of service.
const (
	kindDataCentre = "data-centre"
	kindHost       = "host"
	kindDatabase   = "database"
)

// A takeOutCommand takes an object out of service or brings it back.
type takeOutCommand struct {
	storeOptions
	confirmOptions
	DryRun bool `long:"dry-run" description:"check, show the difference, and stop"`
	Args   struct {
		Kind string `positional-arg-name:"KIND" choice:"data-centre" choice:"host" choice:"database" description:"data-centre, host or database"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`

	takenOut bool
	env      *environment
}

// Execute implements flags.Commander.
func (c *takeOutCommand) Execute([]string) error {
	publisher, closeStore := c.openPublisher(c.env)
	defer closeStore()
	if c.DryRun {
		return c.dryRun(publisher)
	}
	revision, err := publisher.Update(c.env.ctx, c.edit)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.env.stdout, "published revision %d\n", revision)
	return c.awaitConfirmation(c.env, revision)
}

func (c *takeOutCommand) dryRun(publisher *configurer.Publisher) error {
	current, err := publisher.Current(c.env.ctx)
	if err != nil {
		return err
	}
	next, err := c.edit(current)
	if err != nil {
		return err
	}
	changes, err := publisher.DryRun(c.env.ctx, next, current.Revision)
	if err != nil {
		return err
	}
	printChanges(c.env.stdout, current, changes)
	return nil
}

// edit returns the configuration with the object taken out or brought back.
func (c *takeOutCommand) edit(config configurer.Config) (configurer.Config, error) {
	name := c.Args.Name
	switch c.Args.Kind {
	case kindDataCentre:
		dataCentre, ok := config.DataCentres[name]
		if !ok {
			return config, errors.Errorf("no data centre %s", name)
		}
		dataCentre.TakenOut = c.takenOut
		return config.WithDataCentre(dataCentre), nil
	case kindDatabase:
		database, ok := config.Databases[name]
		if !ok {
			return config, errors.Errorf("no database %s", name)
		}
		database.TakenOut = c.takenOut
		return config.WithDatabase(database), nil
	case kindHost:
		return config.WithHost(configurer.Host{Name: name, TakenOut: c.takenOut}), nil
	default:
		return config, errors.Errorf("kind %s is not one of data-centre, host, database", c.Args.Kind)
	}
}
