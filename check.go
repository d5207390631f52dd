package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/hoster"
	"github.com/endiveturn/endiveturn/platform"
)

// A checkCommand validates a directory of configuration objects, and the settings
// and the configuration of hosts on the platform.
type checkCommand struct {
	Settings      string `long:"settings" value-name:"FILE" description:"settings file of a host on the platform"`
	Configuration string `long:"configuration" value-name:"FILE" description:"configuration on the platform, the value of the store key op/config"`
	Args          struct {
		Directory string `positional-arg-name:"DIR" description:"directory of JSON files"`
	} `positional-args:"yes"`

	env *environment
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.Args.Directory == "" && c.Settings == "" && c.Configuration == "" {
		return &flags.Error{Type: flags.ErrRequired, Message: "nothing to check: give DIR, --settings or --configuration"}
	}
	var failures []string
	for _, check := range []struct {
		path     string
		validate func(path string) (summary string, err error)
	}{
		{c.Args.Directory, c.validateDirectory},
		{c.Settings, c.validateSettings},
		{c.Configuration, c.validateConfiguration},
	} {
		if check.path == "" {
			continue
		}
		summary, err := check.validate(check.path)
		if err != nil {
			failures = append(failures, err.Error())
			continue
		}
		fmt.Fprintln(c.env.stdout, "valid:", summary)
	}
	if len(failures) > 0 {
		return errors.New(strings.Join(failures, "; "))
	}
	return nil
}

func (c *checkCommand) validateDirectory(path string) (summary string, err error) {
	config, err := readDirectory(c.env.stderr, path)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d customers, %d keys, %d services, %d databases, %d routes, digest %s",
		len(config.Customers), len(config.Keys), len(config.Services), len(config.Databases), len(config.Routes), config.Digest()), nil
}

func (c *checkCommand) validateSettings(path string) (summary string, err error) {
	settings, err := hoster.ReadSettings(path)
	if err != nil {
		return "", printViolations(c.env.stderr, path, err)
	}
	return "settings of host " + settings.Host, nil
}

func (c *checkCommand) validateConfiguration(path string) (summary string, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read configuration")
	}
	config, err := platform.ParseConfiguration(data)
	if err != nil {
		return "", printViolations(c.env.stderr, path, err)
	}
	return fmt.Sprintf("configuration version %d, %d tenants, %d services, %d routes",
		config.Version, len(config.Customers), len(config.Services), len(config.Routes)), nil
}
