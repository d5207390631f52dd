package classifier

// A tokenKind says what a token is.
type tokenKind uint8

const (
	// tokenWord is an unquoted identifier or keyword; its text is lower case.
	tokenWord tokenKind = iota
	// tokenQuoted is a quoted identifier; its text is the decoded name.
	tokenQuoted
	// tokenString is a literal of any quoting; its text is the decoded value.
	tokenString
	// tokenNumber is a number or a parameter such as $1.
	tokenNumber
	// tokenSymbol is one byte of an operator or of punctuation.
	tokenSymbol
	// tokenUnknown is text whose end was not found, or a byte that PostgreSQL
	// does not accept; a statement with such a token is always a write.
	tokenUnknown
)

// A token is a lexical unit of a statement.
type token struct {
	text string
	kind tokenKind
}

// word reports whether t is the unquoted word.
func (t token) word(text string) bool { return t.kind == tokenWord && t.text == text }

// symbol reports whether t is the one-byte symbol.
func (t token) symbol(text string) bool { return t.kind == tokenSymbol && t.text == text }
