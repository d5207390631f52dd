package pooler

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxStatements bounds the prepared statements kept on one connection.
const maxStatements = 256

// statements is the table of the prepared statements of a connection in the
// order of their last use.
type statements struct {
	table *simplelru.LRU[string, struct{}]
}

func newStatements() *statements {
	// The bound is kept by evictions, which have to be told to the database.
	table, err := simplelru.NewLRU[string, struct{}](math.MaxInt32, nil)
	if err != nil {
		panic(err) // only a size below 1 is an error
	}
	return &statements{table: table}
}

// use marks a statement as used and reports whether the connection has it.
func (s *statements) use(name string) bool {
	_, ok := s.table.Get(name)
	return ok
}

// evict removes the statement that was unused longest and is not needed, once
// the table is full.
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
