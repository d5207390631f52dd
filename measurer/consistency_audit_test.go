package measurer

import (
	"log/slog"
	"testing"

	"github.com/endiveturn/endiveturn/groupemulator"
)

// Guards against an audit that overlooks a violation or counts a harmless run.
func TestAudit(t *testing.T) {
	row := func(id string) *groupemulator.Row { return &groupemulator.Row{ID: id} }
	write := func(id, customer string, offset uint64) groupemulator.Write {
		return groupemulator.Write{Database: "d", ID: id, Customer: customer, After: row(id), Term: 1, Offset: offset}
	}
	const id, other = "customer1-b1", "customer1-b2"
	pair := []claim{{id: id, partner: other, outcome: Done}, {id: other, partner: id, outcome: Done}}
	tests := []struct {
		name   string
		claims []claim
		writes []groupemulator.Write
		want   map[violation]int
	}{
		{"acknowledged", []claim{{id: id, outcome: Done}}, []groupemulator.Write{write(id, "customer1", 1)}, nil},
		{"acknowledged and lost", []claim{{id: id, outcome: Done}}, nil, map[violation]int{lostWrite: 1}},
		{"unknown and absent", []claim{{id: id, outcome: Unknown}}, nil, nil},
		{"unknown and present", []claim{{id: id, outcome: Unknown}}, []groupemulator.Write{write(id, "customer1", 1)}, nil},
		{"not run", []claim{{id: id, outcome: NotRun}}, nil, nil},
		{"not run but present", []claim{{id: id, outcome: NotRun}}, []groupemulator.Write{write(id, "customer1", 1)}, map[violation]int{falseNotRun: 1}},
		{"rolled back but present", []claim{{id: id, outcome: Failed}}, []groupemulator.Write{write(id, "customer1", 1)}, map[violation]int{falseRollback: 1}},
		{"another customer", []claim{{id: id, outcome: Done}}, []groupemulator.Write{write(id, "customer2", 1)}, map[violation]int{wrongCustomer: 1}},
		{"no customer", []claim{{id: id, outcome: Done}}, []groupemulator.Write{write(id, "", 1)}, map[violation]int{wrongCustomer: 1}},
		{"both of a transaction", pair, []groupemulator.Write{write(id, "customer1", 1), write(other, "customer1", 1)}, nil},
		{"a transaction in two commits", pair, []groupemulator.Write{write(id, "customer1", 1), write(other, "customer1", 2)}, map[violation]int{mixedTransaction: 2}},
		{
			"two callers in a commit",
			[]claim{{id: id, outcome: Done}, {id: other, outcome: Done}},
			[]groupemulator.Write{write(id, "customer1", 1), write(other, "customer1", 1)},
			map[violation]int{mixedTransaction: 1},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &consistencyCheck{Logger: slog.New(slog.DiscardHandler), claims: map[string]claim{}, outcomes: map[OperationOutcome]int{}}
			for _, told := range test.claims {
				told.service = "s"
				c.claim(told)
			}
			content := map[string]groupemulator.Row{}
			for _, w := range test.writes {
				content[w.ID] = *w.After
			}
			c.auditCommits("s", test.writes)
			c.auditClaims("s", test.writes, content)
			for kind := range violationKinds {
				if got, want := c.violations[kind], test.want[kind]; got != want {
					t.Errorf("%s: got %d, want %d", kind, got, want)
				}
			}
		})
	}
}

// Guards against counters whose lost or repeated increments are not counted.
func TestAuditCounter(t *testing.T) {
	tests := []struct {
		told          counterClaim
		got           int64
		lost, doubled int
	}{
		{counterClaim{acknowledged: 3, unknown: 1}, 3, 0, 0},
		{counterClaim{acknowledged: 3, unknown: 1}, 4, 0, 0},
		{counterClaim{acknowledged: 3, unknown: 1}, 2, 1, 0},
		{counterClaim{acknowledged: 3, unknown: 1}, 5, 0, 1},
	}
	for _, test := range tests {
		c := &consistencyCheck{Logger: slog.New(slog.DiscardHandler)}
		c.auditCounter("customer1-counter", test.told, test.got)
		if c.violations[lostWrite] != test.lost || c.violations[doubledWrite] != test.doubled {
			t.Errorf("%+v with %d: got %d lost and %d doubled, want %d and %d", test.told, test.got,
				c.violations[lostWrite], c.violations[doubledWrite], test.lost, test.doubled)
		}
	}
}

// Guards against a check of customers that exempts more than the statement by
// which the proxy sets the customer.
func TestObserve(t *testing.T) {
	tests := []struct {
		run  groupemulator.StatementRun
		want int
	}{
		{groupemulator.StatementRun{Query: "SET endiveturn.customer = 'customer2'", Customer: "customer1"}, 0},
		{groupemulator.StatementRun{Query: "SET endiveturn.customer = 'customer2'; SELECT 'customer2'", Customer: "customer1"}, 1},
		{groupemulator.StatementRun{Query: "SELECT $1", Parameters: []string{"customer1-b1"}, Customer: "customer1"}, 0},
		{groupemulator.StatementRun{Query: "SELECT $1", Parameters: []string{"customer1-b1"}, Customer: "customer10"}, 1},
		{groupemulator.StatementRun{Query: "SELECT 'customer1'", Customer: ""}, 1},
	}
	for _, test := range tests {
		c := &consistencyCheck{Logger: slog.New(slog.DiscardHandler)}
		c.observe(test.run)
		if got := c.violations[wrongCustomer]; got != test.want {
			t.Errorf("%+v: got %d, want %d", test.run, got, test.want)
		}
	}
}
