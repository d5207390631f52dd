package configurer_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/storeemulator"
	"github.com/endiveturn/endiveturn/storer"
)

// startStore returns an emulator and a client of it.
func startStore(t *testing.T) (*storeemulator.Emulator, *storer.Client) {
	t.Helper()
	e := &storeemulator.Emulator{Logger: quiet}
	address, stop, err := e.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	c := &storer.Client{Addresses: []string{address}, Logger: quiet}
	t.Cleanup(func() { c.Close() })
	return e, c
}

// Two operators who race must get one winner per revision, and no change may
// get lost or be made twice, also when the store loses answers.
func TestPublishRace(t *testing.T) {
	e, c := startStore(t)
	p := &configurer.Publisher{Store: c, Logger: quiet}
	if _, err := p.Publish(t.Context(), validSet(), 0); err != nil {
		t.Fatal(err)
	}
	e.LoseAnswersWithProbability(0.3)
	const operators, changes = 2, 10
	var wait sync.WaitGroup
	for operator := range operators {
		wait.Go(func() {
			own := &configurer.Publisher{Store: c, Logger: quiet}
			for i := range changes {
				raiseWeight(t, own, fmt.Sprintf("host-%d-%d", operator, i))
			}
		})
	}
	wait.Wait()
	e.LoseAnswersWithProbability(0)
	set, err := p.Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if want := uint64(1 + operators*changes); set.Revision != want {
		t.Errorf("got revision %d, want %d", set.Revision, want)
	}
	if got, want := set.Customers["acme"].Weight, 1+operators*changes; got != want {
		t.Errorf("got %d changes, want %d", got, want)
	}
}

// raiseWeight makes a change that shows when it is made twice, and repeats it
// after a conflict without Update's help.
func raiseWeight(t *testing.T, p *configurer.Publisher, host string) {
	for {
		current, err := p.Current(context.Background())
		if err != nil {
			t.Errorf("read: %v", err)
			return
		}
		next := current.WithHost(configurer.Host{Name: host})
		acme := current.Customers["acme"]
		acme.Weight++
		next.Customers = map[string]configurer.Customer{"acme": acme}
		revision, err := p.Publish(context.Background(), next, current.Revision)
		var conflict *configurer.ConflictError
		switch {
		case err == nil && revision == current.Revision+1:
			return
		case !errors.As(err, &conflict) || conflict.Revision <= current.Revision:
			t.Errorf("Publish after %d: got %d, %v; want the next revision or a conflict with a later one", current.Revision, revision, err)
			return
		}
	}
}

// An interceptedStore runs a function before it swaps the head.
type interceptedStore struct {
	storer.Store
	before func()
}

func (s *interceptedStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease storer.LeaseID) (bool, storer.Entry, error) {
	if before := s.before; key == configurer.HeadKey && before != nil {
		s.before = nil
		before()
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

// The loser of a race must learn the winner's revision, and Update must apply
// its edit to the winner's set.
func TestPublishConflict(t *testing.T) {
	_, c := startStore(t)
	winner := &configurer.Publisher{Store: c, Logger: quiet}
	if _, err := winner.Publish(t.Context(), validSet(), 0); err != nil {
		t.Fatal(err)
	}
	store := &interceptedStore{Store: c}
	loser := &configurer.Publisher{Store: store, Logger: quiet}
	win := func(name string) func() {
		return func() {
			if _, err := winner.Update(t.Context(), addHost(name)); err != nil {
				t.Error(err)
			}
		}
	}
	store.before = win("winner1")
	_, err := loser.Publish(t.Context(), validSet().WithHost(configurer.Host{Name: "loser"}), 1)
	var conflict *configurer.ConflictError
	if !errors.Is(err, configurer.ErrConflict) || !errors.As(err, &conflict) || conflict.Revision != 2 {
		t.Errorf("got %v, want a conflict with revision 2", err)
	}
	if _, err := loser.Publish(t.Context(), validSet(), 1); !errors.Is(err, configurer.ErrConflict) {
		t.Errorf("outdated expected revision: got %v, want ErrConflict", err)
	}
	store.before = win("winner2")
	if revision, err := loser.Update(t.Context(), addHost("loser")); err != nil || revision != 4 {
		t.Errorf("Update: got %d, %v; want 4", revision, err)
	}
	set, err := winner.Current(t.Context())
	if err != nil || len(set.Hosts) != 4 {
		t.Errorf("got hosts %v, %v; want h1, winner1, winner2 and loser", set.Hosts, err)
	}
	entries, err := c.Range(t.Context(), "endiveturn/set/")
	if err != nil || len(entries) != 4 {
		t.Errorf("got %d sets in the store, %v; want 4: the loser's is discarded", len(entries), err)
	}
}

func addHost(name string) func(configurer.Set) (configurer.Set, error) {
	return func(s configurer.Set) (configurer.Set, error) {
		return s.WithHost(configurer.Host{Name: name}), nil
	}
}

// A publication that was accepted before others followed it is no conflict.
func TestPublishOvertaken(t *testing.T) {
	e, c := startStore(t)
	other := &configurer.Publisher{Store: c, Logger: quiet}
	if _, err := other.Publish(t.Context(), validSet(), 0); err != nil {
		t.Fatal(err)
	}
	store := &overtakenStore{Store: c, lose: func() { e.LoseAnswers(1) }, overtake: func() {
		if _, err := other.Update(t.Context(), addHost("other")); err != nil {
			t.Error(err)
		}
	}}
	p := &configurer.Publisher{Store: store, Logger: quiet}
	revision, err := p.Publish(t.Context(), validSet().WithHost(configurer.Host{Name: "mine"}), 1)
	if err != nil || revision != 2 {
		t.Errorf("got %d, %v; want 2", revision, err)
	}
}

// An overtakenStore loses the answer to the first swap of the head, and lets
// another publisher go on from it.
type overtakenStore struct {
	storer.Store
	lose, overtake func()
}

func (s *overtakenStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease storer.LeaseID) (bool, storer.Entry, error) {
	if key == configurer.HeadKey {
		s.lose()
		defer s.overtake()
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

// A set with faults must not reach the store, and a dry run must not either.
func TestPublishRefuses(t *testing.T) {
	_, c := startStore(t)
	p := &configurer.Publisher{Store: c, Logger: quiet}
	bad := validSet()
	delete(bad.Limits, "small")
	if _, err := p.Publish(t.Context(), bad, 0); !errors.Is(err, configurer.ErrInvalid) {
		t.Errorf("set with a fault: got %v, want ErrInvalid", err)
	}
	changes, err := p.DryRun(t.Context(), validSet(), 0)
	if err != nil || len(changes) != 12 {
		t.Errorf("dry run: got %v, %v; want 12 changes", changes, err)
	}
	if entries, err := c.Range(t.Context(), ""); err != nil || len(entries) != 0 {
		t.Errorf("the store holds %v, %v; want nothing", entries, err)
	}
	if _, err := p.Publish(t.Context(), validSet(), 0); err != nil {
		t.Fatal(err)
	}
	moved := validSet()
	delete(moved.Databases, "db1")
	delete(moved.Databases, "db2")
	if _, err := p.Publish(t.Context(), moved, 1); !errors.Is(err, configurer.ErrInvalid) {
		t.Errorf("majority of databases removed: got %v, want ErrInvalid", err)
	}
	if revision, err := p.Update(t.Context(), func(s configurer.Set) (configurer.Set, error) { return s, nil }); err != nil || revision != 1 {
		t.Errorf("Update without a change: got %d, %v; want 1", revision, err)
	}
}

// A set that exceeds the store's limit for a value must be split, and the sets
// of old revisions must not fill the store.
func TestPublishLargeSets(t *testing.T) {
	_, c := startStore(t)
	p := &configurer.Publisher{Store: c, Logger: quiet}
	large := validSet()
	for i := range 5000 {
		name := fmt.Sprintf("key%d", i)
		large.Keys[name] = configurer.Key{Name: name, Customer: "acme", Verifier: verifier("a")}
	}
	const publications = 7
	var set configurer.Set
	for i := range uint64(publications) {
		set = validSet()
		if i == 1 || i == publications-1 {
			set = large
		}
		if _, err := p.Publish(t.Context(), set, i); err != nil {
			t.Fatal(err)
		}
	}
	got, err := p.Current(t.Context())
	if err != nil || got.Digest() != set.WithRevision(publications).Digest() {
		t.Errorf("got revision %d, %v; want the published set", got.Revision, err)
	}
	entries, err := c.Range(t.Context(), "endiveturn/set/")
	if err != nil {
		t.Fatal(err)
	}
	revisions := make(map[string]int)
	for _, entry := range entries {
		revision, _, _ := strings.Cut(strings.TrimPrefix(entry.Key, "endiveturn/set/"), "-")
		revisions[revision]++
	}
	if len(revisions) != 5 || revisions["7"] < 2 || revisions["2"] != 0 {
		t.Errorf("got chunks by revision %v, want those from 3 to 7, several of 7", revisions)
	}
}
