package director

import (
	"crypto/sha256"
	"encoding/hex"
)

// A prepared is a prepared statement of a session.
type prepared struct {
	// name is the statement's name on connections to databases. It depends only
	// on text and writes.
	name   string
	text   string
	writes bool
}

// newPrepared derives the name of a prepared statement from its text and
// whether it writes, so that sessions that prepare the same statement share it
// on a connection. Statements are distinguished by their names alone there, and clients choose
// the texts, so the name has the whole digest of a cryptographic hash function.
func newPrepared(text string, writes bool) prepared {
	digest := sha256.Sum256([]byte(text))
	kind := "r"
	if writes {
		kind = "w"
	}
	return prepared{name: kind + hex.EncodeToString(digest[:]), text: text, writes: writes}
}
