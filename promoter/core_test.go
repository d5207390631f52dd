package promoter

import (
	"testing"
	"time"
)

// Guards against a confirmation that counts a replica whose log may differ from
// the primary's: one that has not followed since the promotion, or that is in
// an older term, with however long a log.
func TestConfirmed(t *testing.T) {
	follower := func(received uint64) Status {
		return Status{Term: 5, Role: RoleReplica, Primary: "db1", Received: received}
	}
	raised := Status{Term: 5, Role: RoleReplica, Received: 99}
	older := Status{Term: 4, Role: RoleReplica, Primary: "db1", Received: 99}
	other := Status{Term: 5, Role: RoleReplica, Primary: "db3", Received: 99}
	tests := []struct {
		name     string
		db2, db3 Status
		want     uint64
	}{
		{"both follow", follower(7), follower(9), 9},
		{"one follows", follower(7), raised, 7},
		{"one in an older term", older, follower(3), 3},
		{"one follows another", other, follower(3), 3},
		{"none follows", raised, older, 0},
	}
	for _, test := range tests {
		c := &core{term: 5, primary: "db1"}
		c.setMembers(fakeMembers())
		now := time.Unix(10, 0)
		c.observe("db1", Status{Term: 5, Role: RolePrimary, Primary: "db1", Received: 100}, now)
		c.observe("db2", test.db2, now)
		c.observe("db3", test.db3, now)
		if got := c.confirmed(); got != test.want {
			t.Errorf("%s: got offset %d, want %d", test.name, got, test.want)
		}
	}
}
