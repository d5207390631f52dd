package classifier

// A tokenKind is the lexical category of a token.
type tokenKind uint8

const (
	// tokenWord is an unquoted identifier or a keyword; its text is in lower
	// case.
	tokenWord tokenKind = iota
	// tokenQuoted is a quoted identifier; its text is the decoded name.
	tokenQuoted
	// tokenString is a string literal of any quoting style; its text is the
	// decoded value.
	tokenString
	// tokenNumber is a number, or a parameter such as $1.
	tokenNumber
	// tokenSymbol is one byte of an operator or of punctuation.
	tokenSymbol
	// tokenUnknown is unterminated text or a byte that PostgreSQL does not
	// accept; a statement that contains such a token always counts as a write.
	tokenUnknown
)

// A token is a lexical unit of a statement.
type token struct {
	text string
	kind tokenKind
}

// isWord reports whether t is the given unquoted word.
func (t token) isWord(text string) bool { return t.kind == tokenWord && t.text == text }

// isSymbol reports whether t is the given one-byte symbol.
func (t token) isSymbol(text string) bool { return t.kind == tokenSymbol && t.text == text }
