package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/measurer"
)

// Markers around the table of the capacity page.
const (
	tableStart = "<!-- table: endiveturn capacity -->\n"
	tableEnd   = "<!-- end of table -->\n"
)

// A capacityCommand computes the table of the capacity page from measured slopes.
type capacityCommand struct {
	Page string `long:"page" value-name:"FILE" description:"replace the table in this page instead of printing it"`
	Args struct {
		Slopes string `positional-arg-name:"SLOPES" description:"output of measure slopes --format json"`
	} `positional-args:"yes" required:"yes"`

	env *environment
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	table, err := capacityTable(c.Args.Slopes)
	if err != nil {
		return err
	}
	if c.Page == "" {
		fmt.Fprint(c.env.stdout, table)
		return nil
	}
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	replaced, err := replaceTable(string(page), table)
	if err != nil {
		return errors.WithMessage(err, c.Page)
	}
	return errors.Wrap(os.WriteFile(c.Page, []byte(replaced), 0o644), "write page")
}

// capacityTable returns the capacity table computed from the slopes in a file,
// followed by a table of these slopes.
func capacityTable(path string) (string, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read slopes")
	}
	slopes, err := measurer.DecodeSlopes(content)
	if err != nil {
		return "", errors.WithMessage(err, path)
	}
	table, err := measurer.CapacityTable(slopes)
	if err != nil {
		return "", err
	}
	return table + "\n" + measurer.SlopeTable(slopes), nil
}

// replaceTable returns the page with the text between the markers replaced by the
// table.
func replaceTable(page, table string) (string, error) {
	before, rest, found := strings.Cut(page, tableStart)
	_, after, foundEnd := strings.Cut(rest, tableEnd)
	if !found || !foundEnd {
		return "", errors.Errorf("no markers %q and %q", strings.TrimSpace(tableStart), strings.TrimSpace(tableEnd))
	}
	return before + tableStart + table + tableEnd + after, nil
}
