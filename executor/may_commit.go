package executor

import "bytes"

// MayCommit reports whether the text of the batch contains a word that commits a
// transaction; a word within a literal counts too.
func (b *Batch) MayCommit() bool {
	if containsCommit(b.Messages) {
		return true
	}
	for i := range b.Statements {
		if containsCommit([]byte(b.Statements[i].Query)) {
			return true
		}
	}
	return false
}

func containsCommit(text []byte) bool {
	upper := bytes.ToUpper(text)
	return bytes.Contains(upper, []byte("COMMIT")) || bytes.Contains(upper, []byte("END"))
}
