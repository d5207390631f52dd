package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// Guards against batches that outlive their deadline or their caller, and
// against another cause than the one that ended them.
func TestRunContext(t *testing.T) {
	errGone := errors.New("caller has gone")
	tests := []struct {
		name string
		// waits is set when somebody waits on the context from the beginning.
		waits bool
		// leaves is when the caller leaves.
		leaves time.Duration
		at     time.Duration
		want   error
	}{
		{"runs", false, time.Hour, time.Second, nil},
		{"runs, waited for", true, time.Hour, time.Second, nil},
		{"deadline", false, time.Hour, 2 * time.Second, errDeadline},
		{"deadline, waited for", true, time.Hour, 2 * time.Second, errDeadline},
		{"caller leaves", false, time.Second, time.Second, errGone},
		{"caller leaves, waited for", true, time.Second, time.Second, errGone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				parent, leave := context.WithCancelCause(t.Context())
				time.AfterFunc(test.leaves, func() { leave(errGone) })
				c := &runContext{parent: parent, deadline: time.Now().Add(2 * time.Second)}
				defer c.release()
				called := 0
				stop := c.afterFunc(func() {
					called++
					if got := context.Cause(c); !errors.Is(got, test.want) {
						t.Errorf("cause when called: got %v, want %v", got, test.want)
					}
				})
				if test.waits {
					c.Done()
				}
				waiting := &waitContext{parent: c, moving: context.Background()}
				defer waiting.release()
				time.Sleep(test.at)
				synctest.Wait()
				ended := test.want != nil
				if got := c.Err() != nil; got != ended {
					t.Errorf("ended: got %v, want %v", got, ended)
				}
				if got := waiting.Err() != nil; got != ended {
					t.Errorf("waiting ended: got %v, want %v", got, ended)
				}
				for _, ctx := range []context.Context{c, waiting} {
					if got := context.Cause(ctx); !errors.Is(got, test.want) {
						t.Errorf("cause: got %v, want %v", got, test.want)
					}
				}
				if got := stop(); got == ended {
					t.Errorf("stopped: got %v, want %v", got, !ended)
				}
				leave(nil)
				time.Sleep(time.Hour)
				if got := called == 1; got != ended {
					t.Errorf("called %d times, ended %v", called, ended)
				}
			})
		})
	}
}
