package main

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/hoster"
)

// printViolations prints each violation of a document of the platform to w and
// returns an error with their number. Other errors are returned unchanged.
func printViolations(w io.Writer, path string, err error) error {
	var invalid *hoster.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	for _, violation := range invalid.Violations {
		fmt.Fprintf(w, "%s: %s\n", path, violation)
	}
	return errors.Errorf("%d violations in %s", len(invalid.Violations), path)
}

// readDirectory reads and validates a directory of configuration objects and prints
// every violation to w.
func readDirectory(w io.Writer, path string) (configurer.Config, error) {
	if info, err := os.Stat(path); err != nil || !info.IsDir() {
		return configurer.Config{}, errors.Errorf("%s is not a directory", path)
	}
	config, violations := configurer.ReadDir(os.DirFS(path))
	if len(violations) == 0 {
		violations = configurer.Check(config)
	}
	for _, violation := range violations {
		fmt.Fprintln(w, violation)
	}
	if len(violations) > 0 {
		return config, errors.Errorf("%d violations in %s", len(violations), path)
	}
	return config, nil
}
