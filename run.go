package main

import (
	"fmt"
	"io"
)

// run executes the command line and returns the exit code.
func run(args []string, _ io.Reader, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprintln(stderr, "usage: endiveturn COMMAND")
		return 2
	}
	fmt.Fprintln(stdout, args[0])
	return 0
}
