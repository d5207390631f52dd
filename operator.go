package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/messenger"
	"github.com/endiveturn/endiveturn/server"
	"github.com/endiveturn/endiveturn/storer"
)

// confirmInterval is the interval at which a host is queried for the hosts that
// have confirmed a revision.
const confirmInterval = 100 * time.Millisecond

// errUnconfirmed means that not all hosts have confirmed a revision in time.
var errUnconfirmed = errors.New("published, but not confirmed by all hosts")

// storeOptions are the flags of operator commands that access the store.
type storeOptions struct {
	Store []string `long:"store" env:"ENDIVETURN_STORE" env-delim:"," required:"yes" description:"address of the platform's store; may be repeated"`
}

// openPublisher returns a publisher and a function that closes its connection.
func (o *storeOptions) openPublisher(env *environment) (*configurer.Publisher, func()) {
	logger := env.logger(slog.LevelWarn)
	client := &storer.Client{Addresses: o.Store, Logger: logger}
	return &configurer.Publisher{Store: client, Now: env.now, Logger: logger}, func() { client.Close() }
}

// confirmOptions are the flags of operator commands that wait until the hosts have
// confirmed a revision.
type confirmOptions struct {
	Host []string      `long:"host" env:"ENDIVETURN_HOST" env-delim:"," description:"peer address of a host to ask which hosts have confirmed; may be repeated"`
	Wait time.Duration `long:"wait" default:"10s" description:"how long to wait for all hosts"`
}

// awaitConfirmation waits until all hosts have confirmed the revision. If they have
// not within o.Wait, the returned error names those that are missing.
func (o *confirmOptions) awaitConfirmation(env *environment, revision uint64) error {
	if len(o.Host) == 0 {
		fmt.Fprintln(env.stdout, "not waiting for hosts, since no --host was given")
		return nil
	}
	client := &messenger.Client{Logger: env.logger(slog.LevelError)}
	defer client.Close()
	ctx, cancel := context.WithTimeout(env.ctx, o.Wait)
	defer cancel()
	start := env.now()
	missing := []string{"no host replied"}
	for {
		if status, err := fetchAnyStatus(ctx, client, o.Host); err == nil {
			missing = unconfirmedHosts(status, revision)
			if len(missing) == 0 {
				fmt.Fprintf(env.stdout, "revision %d is in force on all %d hosts after %v\n",
					revision, len(status.Hosts), env.now().Sub(start).Round(time.Millisecond))
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(errUnconfirmed, "revision %d not confirmed by: %s", revision, strings.Join(missing, ", "))
		case <-time.After(confirmInterval):
		}
	}
}

// fetchAnyStatus returns the status from the first of the hosts that replies.
func fetchAnyStatus(ctx context.Context, client *messenger.Client, addresses []string) (server.Status, error) {
	err := errors.New("no host given")
	for _, address := range addresses {
		var content []byte
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		content, err = client.Status(callCtx, address)
		cancel()
		if err == nil {
			return server.DecodeStatus(content)
		}
	}
	return server.Status{}, err
}

// unconfirmedHosts returns a description of each host that is not known to have the
// revision.
func unconfirmedHosts(status server.Status, revision uint64) []string {
	var names []string
	for _, h := range status.Hosts {
		if h.Revision < revision {
			names = append(names, fmt.Sprintf("%s (%s, revision %d)", h.Name, h.State, h.Revision))
		}
	}
	return names
}

// printChanges prints the difference between the configuration in force and the next one.
func printChanges(w io.Writer, current configurer.Config, changes []configurer.Change) {
	fmt.Fprintf(w, "revision %d is in force; %d changes\n", current.Revision, len(changes))
	for _, change := range changes {
		fmt.Fprintln(w, change)
	}
}
