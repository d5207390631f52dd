package classifier

import (
	"strings"
	"unicode/utf8"
)

// A lexer splits SQL text into tokens by the lexical rules of PostgreSQL with
// standard_conforming_strings on. It errs towards tokenUnknown.
type lexer struct {
	text string
	at   int
}

// next returns the next token; ok is false at the end of the text.
func (l *lexer) next() (t token, ok bool) {
	if !l.skipBlank() {
		l.at = len(l.text)
		return token{kind: tokenUnknown}, true
	}
	if l.at >= len(l.text) {
		return token{}, false
	}
	c := l.text[l.at]
	switch {
	case c == '\'':
		return l.quoted('\'', tokenString, false), true
	case c == '"':
		return l.quoted('"', tokenQuoted, false), true
	case c == '$':
		return l.dollar(), true
	case isDigit(c) || (c == '.' && isDigit(l.peek(1))):
		return l.number(), true
	case isWordStart(c):
		return l.wordOrLiteral(), true
	case c < ' ' || c == 0x7f:
		return l.unknown(1), true
	}
	l.at++
	return token{kind: tokenSymbol, text: l.text[l.at-1 : l.at]}, true
}

// skipBlank skips white space and comments. It returns false if a comment does
// not end.
func (l *lexer) skipBlank() bool {
	for l.at < len(l.text) {
		switch c := l.text[l.at]; {
		case c == ' ' || (c >= '\t' && c <= '\r'):
			l.at++
		case c == '-' && l.peek(1) == '-':
			l.skipLine()
		case c == '/' && l.peek(1) == '*':
			if !l.skipComment() {
				return false
			}
		default:
			return true
		}
	}
	return true
}

// skipLine skips to the end of the line; like PostgreSQL it ends a comment at a
// carriage return as well.
func (l *lexer) skipLine() {
	end := strings.IndexAny(l.text[l.at:], "\r\n")
	if end < 0 {
		l.at = len(l.text)
		return
	}
	l.at += end
}

// skipComment skips a block comment, which may contain others.
func (l *lexer) skipComment() bool {
	depth := 0
	for l.at < len(l.text) {
		switch {
		case l.text[l.at] == '/' && l.peek(1) == '*':
			depth++
			l.at += 2
		case l.text[l.at] == '*' && l.peek(1) == '/':
			depth--
			l.at += 2
			if depth == 0 {
				return true
			}
		default:
			l.at++
		}
	}
	return false
}

// quoted reads text up to the closing quote, of which two in a row stand for
// one. With escapes, a backslash escapes the next character.
func (l *lexer) quoted(quote byte, kind tokenKind, escapes bool) token {
	var b strings.Builder
	for i := l.at + 1; i < len(l.text); {
		c := l.text[i]
		switch {
		case c == quote && i+1 < len(l.text) && l.text[i+1] == quote:
			b.WriteByte(quote)
			i += 2
		case c == quote:
			l.at = i + 1
			return token{kind: kind, text: b.String()}
		case escapes && c == '\\' && i+1 < len(l.text):
			i += decodeEscape(&b, l.text[i:])
		default:
			b.WriteByte(c)
			i++
		}
	}
	return l.unknown(len(l.text) - l.at)
}

// dollar reads a parameter ($1) or a dollar-quoted literal.
func (l *lexer) dollar() token {
	if isDigit(l.peek(1)) {
		start := l.at
		l.at++
		for isDigit(l.peek(0)) {
			l.at++
		}
		return token{kind: tokenNumber, text: l.text[start:l.at]}
	}
	end := l.at + 1
	for end < len(l.text) && isWordPart(l.text[end]) && l.text[end] != '$' {
		end++
	}
	if end >= len(l.text) || l.text[end] != '$' {
		return l.unknown(1)
	}
	tag := l.text[l.at : end+1]
	length := strings.Index(l.text[end+1:], tag)
	if length < 0 {
		return l.unknown(len(l.text) - l.at)
	}
	body := l.text[end+1 : end+1+length]
	l.at = end + 1 + length + len(tag)
	return token{kind: tokenString, text: body}
}

// number reads the digits of a number. Letters in it, as in 0x1F or 1e5, become
// a word of their own, since older servers end a number there.
func (l *lexer) number() token {
	start := l.at
	for l.at < len(l.text) && (isDigit(l.text[l.at]) || l.text[l.at] == '.' || l.text[l.at] == '_') {
		l.at++
	}
	return token{kind: tokenNumber, text: l.text[start:l.at]}
}

// wordOrLiteral reads a word, or a literal with a letter in front: E”, B”,
// X”, N” and U&”.
func (l *lexer) wordOrLiteral() token {
	c, second := l.text[l.at]|0x20, l.peek(1)
	switch {
	case second == '\'' && (c == 'e' || c == 'b' || c == 'x' || c == 'n'):
		l.at++
		if c == 'e' {
			return l.escaped()
		}
		return l.quoted('\'', tokenString, false)
	case c == 'u' && second == '&' && (l.peek(2) == '\'' || l.peek(2) == '"'):
		l.at += 2
		return l.unicodeLiteral()
	}
	start := l.at
	for l.at < len(l.text) && isWordPart(l.text[l.at]) {
		l.at++
	}
	return token{kind: tokenWord, text: lower(l.text[start:l.at])}
}

// escaped reads the literal after an E. Another literal on a later line would
// continue it with the same escapes; such a text is not understood.
func (l *lexer) escaped() token {
	t := l.quoted('\'', tokenString, true)
	rest := *l
	if t.kind == tokenString && rest.skipBlank() && rest.peek(0) == '\'' {
		return l.unknown(len(l.text) - l.at)
	}
	return t
}

// unicodeLiteral reads what follows U&. The escape character may be changed by
// a UESCAPE clause, so that the value is not certain: a literal with a
// backslash or such a clause counts as unknown.
func (l *lexer) unicodeLiteral() token {
	kind := tokenString
	if l.text[l.at] == '"' {
		kind = tokenQuoted
	}
	t := l.quoted(l.text[l.at], kind, false)
	if t.kind == tokenUnknown {
		return t
	}
	rest := *l
	following, ok := rest.next()
	if strings.Contains(t.text, `\`) || (ok && following.word("uescape")) {
		t.kind = tokenUnknown
	}
	return t
}

// unknown returns the next n bytes as a token that is not understood.
func (l *lexer) unknown(n int) token {
	t := token{kind: tokenUnknown, text: l.text[l.at : l.at+n]}
	l.at += n
	return t
}

// peek returns the byte n after the present one, or 0 at the end.
func (l *lexer) peek(n int) byte {
	if l.at+n >= len(l.text) {
		return 0
	}
	return l.text[l.at+n]
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c == '_' || (c|0x20 >= 'a' && c|0x20 <= 'z') || c >= utf8.RuneSelf
}

func isWordPart(c byte) bool { return isWordStart(c) || isDigit(c) || c == '$' }

// lower returns s with ASCII letters in lower case. PostgreSQL leaves other
// letters alone; strings.ToLower would turn a Kelvin sign into a k.
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
