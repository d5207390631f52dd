package storer

import "testing"

// TestJoinedRevisionsRiseWithTheEra guards against a record of an earlier era that counts
// as newer than one that the store wrote after it came back from an older copy.
func TestJoinedRevisionsRiseWithTheEra(t *testing.T) {
	tests := []struct {
		name                    string
		era, revision           int64
		laterEra, laterRevision int64
	}{
		{name: "same era", era: 1, revision: 7, laterEra: 1, laterRevision: 8},
		{name: "lower revision in the next era", era: 1, revision: 4000, laterEra: 2, laterRevision: 3},
		{name: "no era", era: 0, revision: 7, laterEra: 1, laterRevision: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			earlier, later := JoinRevision(test.era, test.revision), JoinRevision(test.laterEra, test.laterRevision)
			if earlier >= later {
				t.Errorf("got %d >= %d, want it to be lower", earlier, later)
			}
			if era, revision := SplitRevision(earlier); era != test.era || revision != test.revision || EraOf(earlier) != test.era {
				t.Errorf("split: got %d, %d, want %d, %d", era, revision, test.era, test.revision)
			}
		})
	}
}
