package classifier

import (
	"strings"
	"unicode/utf8"
)

// A lexer splits SQL text into tokens by the lexical rules of PostgreSQL with
// standard_conforming_strings on. In doubt it returns tokenUnknown.
type lexer struct {
	text string
	pos  int
}

// next returns the next token; ok is false at the end of the text.
func (l *lexer) next() (t token, ok bool) {
	if !l.skipSpaceAndComments() {
		l.pos = len(l.text)
		return token{kind: tokenUnknown}, true
	}
	if l.pos >= len(l.text) {
		return token{}, false
	}
	c := l.text[l.pos]
	switch {
	case c == '\'':
		return l.readQuoted('\'', tokenString, false), true
	case c == '"':
		return l.readQuoted('"', tokenQuoted, false), true
	case c == '$':
		return l.readDollar(), true
	case isDigit(c) || (c == '.' && isDigit(l.peek(1))):
		return l.readNumber(), true
	case isWordStart(c):
		return l.readWordOrLiteral(), true
	case c < ' ' || c == 0x7f:
		return l.readUnknown(1), true
	}
	l.pos++
	return token{kind: tokenSymbol, text: l.text[l.pos-1 : l.pos]}, true
}

// skipSpaceAndComments skips white space and comments. It returns false if a
// comment is not terminated.
func (l *lexer) skipSpaceAndComments() bool {
	for l.pos < len(l.text) {
		switch c := l.text[l.pos]; {
		case c == ' ' || (c >= '\t' && c <= '\r'):
			l.pos++
		case c == '-' && l.peek(1) == '-':
			l.skipLine()
		case c == '/' && l.peek(1) == '*':
			if !l.skipBlockComment() {
				return false
			}
		default:
			return true
		}
	}
	return true
}

// skipLine skips to the end of the line. Like PostgreSQL, it also ends a
// comment at a carriage return.
func (l *lexer) skipLine() {
	end := strings.IndexAny(l.text[l.pos:], "\r\n")
	if end < 0 {
		l.pos = len(l.text)
		return
	}
	l.pos += end
}

// skipBlockComment skips a block comment, which may be nested. It returns false
// if the comment is not terminated.
func (l *lexer) skipBlockComment() bool {
	depth := 0
	for l.pos < len(l.text) {
		switch {
		case l.text[l.pos] == '/' && l.peek(1) == '*':
			depth++
			l.pos += 2
		case l.text[l.pos] == '*' && l.peek(1) == '/':
			depth--
			l.pos += 2
			if depth == 0 {
				return true
			}
		default:
			l.pos++
		}
	}
	return false
}

// readQuoted reads text up to the closing quote; a doubled quote stands for the
// quote itself. If escapes is set, a backslash escapes the next character.
func (l *lexer) readQuoted(quote byte, kind tokenKind, escapes bool) token {
	start := l.pos + 1
	length, plain := quotedLength(l.text[start:], quote, escapes)
	if length < 0 {
		return l.readUnknown(len(l.text) - l.pos)
	}
	l.pos = start + length + 1
	text := l.text[start : start+length]
	if !plain {
		text = unquote(text, quote, escapes)
	}
	return token{kind: kind, text: text}
}

// quotedLength returns the number of bytes up to the closing quote, -1 if there is none.
// plain is set if the text before it stands for itself.
func quotedLength(text string, quote byte, escapes bool) (length int, plain bool) {
	plain = true
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == quote && (i+1 == len(text) || text[i+1] != quote):
			return i, plain
		case c == quote, escapes && c == '\\':
			plain = false
			i++
		}
	}
	return -1, false
}

// unquote returns what the text between two quotes stands for, which is not longer.
func unquote(text string, quote byte, escapes bool) string {
	var b strings.Builder
	b.Grow(len(text))
	for i := 0; i < len(text); {
		switch c := text[i]; {
		case c == quote:
			b.WriteByte(quote)
			i += 2
		case escapes && c == '\\' && i+1 < len(text):
			i += decodeEscape(&b, text[i:])
		default:
			b.WriteByte(c)
			i++
		}
	}
	return b.String()
}

// readDollar reads a parameter ($1) or a dollar-quoted literal.
func (l *lexer) readDollar() token {
	if isDigit(l.peek(1)) {
		start := l.pos
		l.pos++
		for isDigit(l.peek(0)) {
			l.pos++
		}
		return token{kind: tokenNumber, text: l.text[start:l.pos]}
	}
	end := l.pos + 1
	for end < len(l.text) && isWordPart(l.text[end]) && l.text[end] != '$' {
		end++
	}
	if end >= len(l.text) || l.text[end] != '$' {
		return l.readUnknown(1)
	}
	tag := l.text[l.pos : end+1]
	length := strings.Index(l.text[end+1:], tag)
	if length < 0 {
		return l.readUnknown(len(l.text) - l.pos)
	}
	body := l.text[end+1 : end+1+length]
	l.pos = end + 1 + length + len(tag)
	return token{kind: tokenString, text: body}
}

// readNumber reads the digits of a number. Letters in it, as in 0x1F or 1e5,
// become a separate word, since older PostgreSQL versions end the number there.
func (l *lexer) readNumber() token {
	start := l.pos
	for l.pos < len(l.text) && (isDigit(l.text[l.pos]) || l.text[l.pos] == '.' || l.text[l.pos] == '_') {
		l.pos++
	}
	return token{kind: tokenNumber, text: l.text[start:l.pos]}
}

// readWordOrLiteral reads a word, or a literal with a prefix: E'...', B'...',
// X'...', N'...' or U&'...'.
func (l *lexer) readWordOrLiteral() token {
	c, second := l.text[l.pos]|0x20, l.peek(1)
	switch {
	case second == '\'' && (c == 'e' || c == 'b' || c == 'x' || c == 'n'):
		l.pos++
		if c == 'e' {
			return l.readEscapeString()
		}
		return l.readQuoted('\'', tokenString, false)
	case c == 'u' && second == '&' && (l.peek(2) == '\'' || l.peek(2) == '"'):
		l.pos += 2
		return l.readUnicodeLiteral()
	}
	start := l.pos
	for l.pos < len(l.text) && isWordPart(l.text[l.pos]) {
		l.pos++
	}
	return token{kind: tokenWord, text: lower(l.text[start:l.pos])}
}

// readEscapeString reads the literal after an E prefix. A literal on a
// following line would continue it with the same escape rules; such text is
// returned as tokenUnknown.
func (l *lexer) readEscapeString() token {
	t := l.readQuoted('\'', tokenString, true)
	lookahead := *l
	if t.kind == tokenString && lookahead.skipSpaceAndComments() && lookahead.peek(0) == '\'' {
		return l.readUnknown(len(l.text) - l.pos)
	}
	return t
}

// readUnicodeLiteral reads the literal or quoted identifier after U&. A UESCAPE
// clause may change the escape character, so the value is uncertain: with a
// backslash or such a clause, the result is tokenUnknown.
func (l *lexer) readUnicodeLiteral() token {
	kind := tokenString
	if l.text[l.pos] == '"' {
		kind = tokenQuoted
	}
	t := l.readQuoted(l.text[l.pos], kind, false)
	if t.kind == tokenUnknown {
		return t
	}
	lookahead := *l
	following, ok := lookahead.next()
	if strings.Contains(t.text, `\`) || (ok && following.isWord("uescape")) {
		t.kind = tokenUnknown
	}
	return t
}

// readUnknown returns the next n bytes as tokenUnknown.
func (l *lexer) readUnknown(n int) token {
	t := token{kind: tokenUnknown, text: l.text[l.pos : l.pos+n]}
	l.pos += n
	return t
}

// peek returns the byte n positions ahead, or 0 at the end of the text.
func (l *lexer) peek(n int) byte {
	if l.pos+n >= len(l.text) {
		return 0
	}
	return l.text[l.pos+n]
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c == '_' || (c|0x20 >= 'a' && c|0x20 <= 'z') || c >= utf8.RuneSelf
}

func isWordPart(c byte) bool { return isWordStart(c) || isDigit(c) || c == '$' }

// lower returns s with ASCII letters in lower case. Like PostgreSQL, it does
// not change other letters; strings.ToLower would turn the Kelvin sign into a
// k.
func lower(s string) string {
	if strings.IndexFunc(s, func(r rune) bool { return r >= 'A' && r <= 'Z' }) < 0 {
		return s
	}
	b := []byte(s)
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			b[i] = c | 0x20
		}
	}
	return string(b)
}
