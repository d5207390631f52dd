package main

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/messenger"
	"github.com/endiveturn/endiveturn/server"
	"github.com/endiveturn/endiveturn/storer"
)

// confirmInterval is how often a host is asked who has confirmed a revision.
const confirmInterval = 100 * time.Millisecond

// storeOptions are the flags by which operators' commands reach the store.
type storeOptions struct {
	Store []string `long:"store" env:"ENDIVETURN_STORE" env-delim:"," required:"yes" description:"address of the platform's store; may be repeated"`
}

// open returns a publisher and a function that closes its connection.
func (o *storeOptions) open(env *environment) (*configurer.Publisher, func()) {
	logger := env.logger(slog.LevelWarn)
	client := &storer.Client{Addresses: o.Store, Logger: logger}
	return &configurer.Publisher{Store: client, Now: env.now, Logger: logger}, func() { client.Close() }
}

// confirmOptions are the flags by which operators' commands wait for hosts.
type confirmOptions struct {
	Host []string      `long:"host" env:"ENDIVETURN_HOST" env-delim:"," description:"peer address of a host that is asked who has confirmed; may be repeated"`
	Wait time.Duration `long:"wait" default:"10s" description:"how long to wait for all hosts"`
}

// await waits until all hosts have confirmed the revision and prints those
// that have not.
func (o *confirmOptions) await(env *environment, revision uint64) error {
	if len(o.Host) == 0 {
		fmt.Fprintln(env.stdout, "not waiting for hosts, since no --host was given")
		return nil
	}
	client := &messenger.Client{Logger: env.logger(slog.LevelError)}
	defer client.Close()
	ctx, cancel := context.WithTimeout(env.ctx, o.Wait)
	defer cancel()
	start := env.now()
	missing := []string{"no host answered"}
	for {
		if status, err := askAny(ctx, client, o.Host); err == nil {
			missing = unconfirmed(status, revision)
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

// askAny returns the status of the first host that answers.
func askAny(ctx context.Context, client *messenger.Client, addresses []string) (server.Status, error) {
	err := errors.New("no host given")
	for _, address := range addresses {
		var content []byte
		call, cancel := context.WithTimeout(ctx, time.Second)
		content, err = client.Status(call, address)
		cancel()
		if err == nil {
			return server.DecodeStatus(content)
		}
	}
	return server.Status{}, err
}

// unconfirmed names the hosts that are not known to have the revision.
func unconfirmed(status server.Status, revision uint64) []string {
	var names []string
	for _, h := range status.Hosts {
		if h.Revision < revision {
			names = append(names, fmt.Sprintf("%s (%s, revision %d)", h.Name, h.State, h.Revision))
		}
	}
	return names
}
