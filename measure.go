package main

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/measurer"
)

// A measureCommand runs the named measures, or all of them.
type measureCommand struct {
	Seed     uint64        `long:"seed" default:"1" description:"seed of load and faults"`
	Duration time.Duration `long:"duration" description:"length of the main phase; 0 uses the measure's own"`
	Format   string        `long:"format" default:"text" choice:"text" choice:"json" description:"text or json"`
	Plot     string        `long:"plot" value-name:"DIR" description:"write a plot of each measure over time to this directory"`
	List     bool          `long:"list" description:"list the measures and stop"`
	Log      bool          `long:"log" description:"write the log lines of hosts and stand-ins"`
	Args     struct {
		Names []string `positional-arg-name:"NAME" description:"measures to run; all if none is given; slopes measures what docs/CAPACITY.md needs"`
	} `positional-args:"yes"`

	env *environment
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	if c.List {
		for _, m := range measurer.All() {
			fmt.Fprintf(c.env.stdout, "%-22s %s\n", m.Name, m.Description)
		}
		return nil
	}
	if slices.Equal(c.Args.Names, []string{"slopes"}) {
		return c.measureSlopes()
	}
	measures, err := c.selectMeasures()
	if err != nil {
		return err
	}
	options := measurer.Options{Seed: c.Seed, Duration: c.Duration, Logger: c.logger()}
	var missed []string
	for _, m := range measures {
		result, err := m.Execute(c.env.ctx, options)
		if err != nil {
			return err
		}
		if err := c.writeResult(result); err != nil {
			return err
		}
		if !result.TargetsMet() {
			missed = append(missed, m.Name)
		}
	}
	if len(missed) > 0 {
		return errors.Errorf("targets not met: %s", strings.Join(missed, ", "))
	}
	return nil
}

func (c *measureCommand) logger() *slog.Logger {
	if c.Log {
		return c.env.logger(slog.LevelDebug)
	}
	return slog.New(slog.DiscardHandler)
}

// measureSlopes measures the slopes from which the capacity page is computed.
func (c *measureCommand) measureSlopes() error {
	slopes, err := measurer.Slopes(c.env.ctx, c.logger())
	if err != nil {
		return err
	}
	if c.Format == formatText {
		return measurer.WriteSlopes(c.env.stdout, slopes)
	}
	content, err := measurer.EncodeSlopes(slopes)
	if err != nil {
		return err
	}
	_, err = c.env.stdout.Write(content)
	return errors.WithStack(err)
}

func (c *measureCommand) selectMeasures() ([]measurer.Measure, error) {
	if len(c.Args.Names) == 0 {
		return measurer.All(), nil
	}
	var measures []measurer.Measure
	for _, name := range c.Args.Names {
		m, err := measurer.Find(name)
		if err != nil {
			return nil, err
		}
		measures = append(measures, m)
	}
	return measures, nil
}

func (c *measureCommand) writeResult(result measurer.Result) error {
	if c.Plot != "" {
		if err := measurer.Plot(c.Plot, result); err != nil {
			return err
		}
	}
	if c.Format == formatJSON {
		return result.WriteJSON(c.env.stdout)
	}
	return result.WriteText(c.env.stdout)
}
