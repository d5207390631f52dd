package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/soaker"
)

// A soakCommand runs hosts and stand-ins as processes under random faults and checks
// what clients see.
type soakCommand struct {
	Seed        uint64        `long:"seed" default:"1" description:"seed of the first run"`
	Seeds       uint64        `long:"seeds" default:"1" description:"number of consecutive seeds"`
	Duration    time.Duration `long:"duration" default:"20s" description:"time in which faults begin"`
	Hosts       int           `long:"hosts" default:"3" description:"number of hosts"`
	Logs        string        `long:"logs" value-name:"DIR" description:"keep settings and logs of all runs in this directory; otherwise only those of failed runs are kept, in a temporary one"`
	Regressions bool          `long:"regressions" description:"run the seeds that have failed before"`

	env *environment
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	if c.Hosts < 1 || c.Seeds < 1 {
		return errors.New("hosts and seeds must be at least 1")
	}
	executable, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find own executable")
	}
	dir := c.Logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "endiveturn-soak-"); err != nil {
			return errors.Wrap(err, "create directory")
		}
	}
	var failed []uint64
	for _, run := range c.runs() {
		run.Executable = executable
		run.Dir = filepath.Join(dir, "seed-"+strconv.FormatUint(run.Seed, 10))
		report, err := run.Run(c.env.ctx)
		if err != nil {
			return errors.WithMessagef(err, "seed %d, logs in %s", run.Seed, run.Dir)
		}
		fmt.Fprintln(c.env.stdout, report)
		if len(report.Violations) > 0 {
			failed = append(failed, run.Seed)
		} else if c.Logs == "" {
			if err := os.RemoveAll(run.Dir); err != nil {
				return errors.Wrap(err, "remove logs")
			}
		}
	}
	if len(failed) > 0 {
		return errors.Errorf("violations with seeds %v, logs in %s", failed, dir)
	}
	if c.Logs == "" {
		return errors.Wrap(os.Remove(dir), "remove directory")
	}
	return nil
}

// runs returns the runs to make, without executable and directory.
func (c *soakCommand) runs() []*soaker.Soak {
	if c.Regressions {
		var runs []*soaker.Soak
		for _, r := range soaker.Regressions {
			runs = append(runs, &soaker.Soak{Seed: r.Seed, Duration: r.Duration, Hosts: r.Hosts})
		}
		return runs
	}
	var runs []*soaker.Soak
	for seed := c.Seed; seed < c.Seed+c.Seeds; seed++ {
		runs = append(runs, &soaker.Soak{Seed: seed, Duration: c.Duration, Hosts: c.Hosts})
	}
	return runs
}
