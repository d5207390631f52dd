package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/explainer"
)

// An explainCommand prints the trace of a request from the logs of hosts.
type explainCommand struct {
	Args struct {
		Request string   `positional-arg-name:"ID" description:"id of the request"`
		Files   []string `positional-arg-name:"FILE" required:"1" description:"logs of hosts"`
	} `positional-args:"yes" required:"yes"`

	env *environment
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var lines []explainer.Line
	skipped := 0
	for _, path := range c.Args.Files {
		fileLines, fileSkipped, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
		skipped += fileSkipped
	}
	if skipped > 0 {
		fmt.Fprintf(c.env.stderr, "%d lines hold no event and are left out\n", skipped)
	}
	entries, err := explainer.Explain(lines, c.Args.Request)
	if err != nil {
		return errors.Wrapf(err, "%d events of %d files", len(lines), len(c.Args.Files))
	}
	return explainer.Write(c.env.stdout, entries)
}

func readLog(path string) ([]explainer.Line, int, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "open log")
	}
	defer file.Close()
	name := filepath.Base(path)
	return explainer.Read(file, strings.TrimSuffix(name, filepath.Ext(name)))
}
