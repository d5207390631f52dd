package promoter

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// runPollers keeps one poller per configured database.
func (w *Watcher) runPollers(ctx context.Context) error {
	for {
		w.mu.Lock()
		members := slices.Clone(w.core.members)
		w.mu.Unlock()
		round, stop := context.WithCancel(ctx)
		var group errgroup.Group
		for _, m := range members {
			group.Go(func() error {
				w.poll(round, m.Member)
				return nil
			})
		}
		select {
		case <-ctx.Done():
		case <-w.restart:
		}
		stop()
		if err := group.Wait(); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return errors.WithStack(ctx.Err())
		}
	}
}

// poll queries one database until ctx ends.
func (w *Watcher) poll(ctx context.Context, member Member) {
	var admin Admin
	defer func() {
		if admin != nil {
			admin.Close()
		}
	}()
	var last Status
	for ctx.Err() == nil {
		if admin == nil {
			admin = w.redial(ctx, member)
			continue
		}
		sentAt := w.Now()
		wait := w.pollWait(member.Name)
		query, cancel := context.WithTimeout(ctx, wait+pollTimeout)
		status, err := admin.Status(query, last.Received, last.Applied, wait)
		cancel()
		if err != nil {
			admin.Close()
			admin = nil
			if ctx.Err() != nil {
				return
			}
			w.lose(member, err)
			continue
		}
		last = status
		w.observe(member.Name, status, sentAt)
		w.rest(ctx, status, sentAt)
	}
}

// pollWait returns how long a database may hold a status query back.
func (w *Watcher) pollWait(name string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.core.primary != "" && w.core.primary != name {
		return replicaPollWait
	}
	return pollWait
}

// redial opens a connection, or pauses after a failure and returns nil.
func (w *Watcher) redial(ctx context.Context, member Member) Admin {
	dial, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	admin, err := w.Dial(dial, member)
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		w.lose(member, err)
		sleep(ctx, jitter(stepInterval))
		return nil
	}
	return admin
}

// rest spaces the queries of one database.
func (w *Watcher) rest(ctx context.Context, status Status, sentAt time.Time) {
	interval := replicaInterval
	w.mu.Lock()
	switch {
	case status.Name == w.core.primary:
		interval = primaryInterval
	case !w.waiters.empty():
		interval = confirmInterval
	}
	w.mu.Unlock()
	sleep(ctx, interval-w.Now().Sub(sentAt))
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (w *Watcher) observe(name string, status Status, sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.core.find(name)
	returned := m != nil && !m.Reachable
	w.core.observe(name, status, sentAt)
	w.publish()
	if returned || w.core.fenced() {
		notify(w.wake)
	}
}

func (w *Watcher) lose(member Member, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.core.find(member.Name)
	if m != nil && m.Reachable {
		w.Logger.Warn("database unreachable", "service", w.Service, "database", member.Name, "error", err)
	}
	w.core.lose(member.Name)
	w.publish()
	notify(w.wake)
}
