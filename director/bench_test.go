package director

import (
	"testing"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
)

// BenchmarkRead measures the processor time of a read without the network, with and
// without balancing.
func BenchmarkRead(b *testing.B) {
	for _, mode := range []BalanceMode{BalanceOff, BalanceOn} {
		name := "off"
		if mode == BalanceOn {
			name = "on"
		}
		b.Run(name, func(b *testing.B) {
			f := newBalancedFixture(cataloger.BoundedStaleness)
			f.director.Balance = mode
			f.updateCatalog(func(*cataloger.Catalog) {})
			f.director.service("s").history.Record(f.now, executor.Position{Term: 1, Offset: 10})
			s := f.newSession()
			for b.Loop() {
				runVerb(s, executor.VerbRead, "a")
				f.primary.executed, f.replica.executed = f.primary.executed[:0], f.replica.executed[:0]
			}
		})
	}
}
