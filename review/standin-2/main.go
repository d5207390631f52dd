// Command standin2 holds the stand-ins and the runs of the review's scripts. It uses the
// standard library alone.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// errBroken means that the rule was broken.
var errBroken = errors.New("rule broken")

// scenarios are the runs by name.
var scenarios = map[string]func(r *record, binary string, trouble bool) error{
	"grace":    grace,
	"stale":    stale,
	"prepared": preparedNames,
}

// main runs SCENARIO RECORD BINARY. The status is 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run.
func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 SCENARIO RECORD BINARY")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(110*time.Second, func() {
		r.add("case could not run: too long")
		os.Exit(2)
	})
	err = scenarios[os.Args[1]](r, os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errBroken):
		r.add("BROKEN: %v", err)
		os.Exit(1)
	case err != nil:
		r.add("case could not run: %v", err)
		os.Exit(2)
	}
	r.add("held")
}
