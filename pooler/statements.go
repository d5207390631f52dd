package pooler

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxStatements bounds the number of prepared statements on one connection.
const maxStatements = 256

// statements is the table of the prepared statements of a connection, in the
// order of their last use.
type statements struct {
	table *simplelru.LRU[string, struct{}]
}

func newStatements() *statements {
	// The LRU must not evict by itself, since the database has to close evicted
	// statements; evict enforces the bound.
	table, err := simplelru.NewLRU[string, struct{}](math.MaxInt32, nil)
	if err != nil {
		panic(err) // the constructor fails only for a size below 1
	}
	return &statements{table: table}
}

// touch marks a statement as used and reports whether the connection has it.
func (s *statements) touch(name string) bool {
	_, ok := s.table.Get(name)
	return ok
}

// evict removes the least recently used statement if the table is full and that
// statement is not needed.
func (s *statements) evict(needed func(string) bool) (string, bool) {
	if s.table.Len() < maxStatements {
		return "", false
	}
	oldest, _, ok := s.table.GetOldest()
	if !ok || needed(oldest) {
		return "", false
	}
	s.table.Remove(oldest)
	return oldest, true
}

func (s *statements) add(name string)    { s.table.Add(name, struct{}{}) }
func (s *statements) remove(name string) { s.table.Remove(name) }
