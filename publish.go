package main

import (
	"fmt"
)

// A publishCommand publishes a directory of configuration objects.
type publishCommand struct {
	storeOptions
	confirmOptions
	DryRun bool `long:"dry-run" description:"check, show the difference, and stop"`
	Args   struct {
		Directory string `positional-arg-name:"DIR" description:"directory of JSON files"`
	} `positional-args:"yes" required:"yes"`

	env *environment
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	config, err := readDirectory(c.env.stderr, c.Args.Directory)
	if err != nil {
		return err
	}
	publisher, closeStore := c.openPublisher(c.env)
	defer closeStore()
	current, err := publisher.Current(c.env.ctx)
	if err != nil {
		return err
	}
	changes, err := publisher.DryRun(c.env.ctx, config, current.Revision)
	if err != nil {
		return err
	}
	printChanges(c.env.stdout, current, changes)
	if c.DryRun || len(changes) == 0 {
		return nil
	}
	revision, err := publisher.Publish(c.env.ctx, config, current.Revision)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.env.stdout, "published revision %d\n", revision)
	return c.awaitConfirmation(c.env, revision)
}
