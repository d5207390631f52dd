package main

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit codes of the commands.
const (
	exitOK = 0
	// exitFailed means that the command failed.
	exitFailed = 1
	// exitUsage means that the command line was invalid.
	exitUsage = 2
	// exitUnconfirmed means that a configuration was published but some hosts have not
	// confirmed it in time.
	exitUnconfirmed = 3
)

// overview is shown by --help before the list of commands.
const overview = `A database proxy with session consistency.

To try it alone, with stand-ins of the store and the databases in one process:
$ endiveturn demo

To run a host on the platform, with the settings in a file (see deploy/):
$ endiveturn check --settings FILE
$ endiveturn host --settings FILE

"endiveturn COMMAND --help" describes a command.`

// run executes the command line and returns the exit code.
func run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	env := &environment{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr, now: time.Now}
	return runIn(env, args)
}

func runIn(env *environment, args []string) int {
	parser, err := newParser(env)
	if err != nil {
		fmt.Fprintln(env.stderr, "endiveturn:", err)
		return exitFailed
	}
	_, err = parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(env.stdout, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(env.stderr, "endiveturn:", usage.Message)
		return exitUsage
	case errors.Is(err, errUnconfirmed):
		fmt.Fprintln(env.stderr, "endiveturn:", err)
		return exitUnconfirmed
	default:
		fmt.Fprintln(env.stderr, "endiveturn:", err)
		return exitFailed
	}
}

func newParser(env *environment) (*flags.Parser, error) {
	parser := flags.NewNamedParser("endiveturn", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "a database proxy with session consistency"
	parser.LongDescription = overview
	for _, c := range []struct {
		name, short string
		command     flags.Commander
	}{
		{"serve", "Run one host for PostgreSQL clients", &serveCommand{env: env}},
		{"host", "Run one host on the platform", &hostCommand{env: env}},
		{"check", "Check configuration objects, or settings and configuration on the platform", &checkCommand{env: env}},
		{"explain", "Print the trace of a request from the logs of hosts", &explainCommand{env: env}},
		{"explain-routing", "Ask a host where it would route a request now, and why", &explainRoutingCommand{env: env}},
		{"publish", "Check and publish a directory of configuration objects", &publishCommand{env: env}},
		{"take-out", "Take a data centre, host or database out of service", &takeOutCommand{takenOut: true, env: env}},
		{"bring-back", "Bring a data centre, host or database back into service", &takeOutCommand{env: env}},
		{"status", "Show hosts, services and customers", &statusCommand{env: env}},
		{"verifier", "Create the verifier of a key from its secret on standard input", &verifierCommand{env: env}},
		{"demo", "Demonstrate the proxy with stand-ins in this process", &demoCommand{env: env}},
		{"measure", "Measure the proxy with stand-ins under load and faults", &measureCommand{env: env}},
		{"soak", "Run hosts and stand-ins as processes under random faults and check what clients see", &soakCommand{env: env}},
		{"capacity", "Compute the table of the capacity page from measured slopes", &capacityCommand{env: env}},
		{"standin", "Run a stand-in of the store or of a database group", &standinCommand{env: env, Store: standinStoreCommand{env: env}, Group: standinGroupCommand{env: env}}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".", c.command); err != nil {
			return nil, errors.Wrapf(err, "command %s", c.name)
		}
	}
	return parser, nil
}
