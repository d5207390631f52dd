package promoter

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/endiveturn/endiveturn/timekeeper"
)

// runPollers runs one poller per configured database until ctx ends.
func (w *Watcher) runPollers(ctx context.Context) error {
	for {
		w.mu.Lock()
		members := slices.Clone(w.state.members)
		w.mu.Unlock()
		pollCtx, stop := context.WithCancel(ctx)
		var group errgroup.Group
		for _, m := range members {
			group.Go(func() error {
				w.poll(pollCtx, m.Member)
				return nil
			})
		}
		select {
		case <-ctx.Done():
		case <-w.membersChanged:
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
		queryCtx, cancel := context.WithTimeout(ctx, wait+pollTimeout)
		status, err := admin.Status(queryCtx, last.Received, last.Applied, wait)
		cancel()
		if err != nil {
			admin.Close()
			admin = nil
			if ctx.Err() != nil {
				return
			}
			w.markUnreachable(member, err)
			continue
		}
		last = status
		w.recordStatus(member.Name, status, sentAt)
		w.waitForNextPoll(ctx, status, sentAt)
	}
}

// pollWait returns how long a database may delay its response to a status query.
func (w *Watcher) pollWait(name string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state.primary != "" && w.state.primary != name {
		return replicaPollWait
	}
	return pollWait
}

// redial opens a connection. After a failure it pauses and returns nil.
func (w *Watcher) redial(ctx context.Context, member Member) Admin {
	dialCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	admin, err := w.Dial(dialCtx, member)
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		w.markUnreachable(member, err)
		timekeeper.Sleep(ctx, jitter(stepInterval))
		return nil
	}
	return admin
}

// waitForNextPoll waits until the minimum interval between two queries of one
// database has passed.
func (w *Watcher) waitForNextPoll(ctx context.Context, status Status, sentAt time.Time) {
	interval := replicaPollInterval
	w.mu.Lock()
	switch {
	case status.Name == w.state.primary:
		interval = primaryPollInterval
	case !w.waiters.empty():
		interval = confirmPollInterval
	}
	w.mu.Unlock()
	timekeeper.Sleep(ctx, interval-w.Now().Sub(sentAt))
}

func (w *Watcher) recordStatus(name string, status Status, sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.state.find(name)
	recovered := m != nil && !m.Reachable
	w.state.recordStatus(name, status, sentAt)
	w.publish()
	if recovered || w.state.fenced() {
		notify(w.wake)
	}
}

func (w *Watcher) markUnreachable(member Member, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.state.find(member.Name)
	if m != nil && m.Reachable {
		w.Logger.Warn("database_unreachable", "service", w.Service, "database", member.Name, "error", err)
	}
	w.state.markUnreachable(member.Name)
	w.publish()
	notify(w.wake)
}
