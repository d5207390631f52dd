package groupemulator

import "strings"

// A tokenKind is the kind of a token.
type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	// tokenWord is an identifier or keyword, in lower case.
	tokenWord
	tokenString
	tokenNumber
	// tokenParameter is the number after a dollar sign.
	tokenParameter
	tokenSymbol
)

type token struct {
	kind tokenKind
	text string
}

// tokenize splits SQL text into tokens.
func tokenize(sql string) ([]token, *sqlError) {
	tokens := make([]token, 0, 24)
	for i := 0; i < len(sql); {
		c := sql[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			i++
		case strings.HasPrefix(sql[i:], "--"):
			end := strings.IndexByte(sql[i:], '\n')
			if end < 0 {
				return tokens, nil
			}
			i += end + 1
		case strings.HasPrefix(sql[i:], "/*"):
			end := strings.Index(sql[i+2:], "*/")
			if end < 0 {
				return nil, sqlErrorf(codeSyntax, "unterminated comment")
			}
			i += end + 4
		case c == '\'' || c == '"':
			text, n := quotedText(sql[i:], c)
			if n == 0 {
				return nil, sqlErrorf(codeSyntax, "unterminated quoted string")
			}
			kind := tokenString
			if c == '"' {
				kind = tokenWord
			}
			tokens = append(tokens, token{kind, text})
			i += n
		default:
			t := unquotedToken(sql[i:])
			tokens = append(tokens, t)
			i += len(t.text)
			switch t.kind {
			case tokenWord:
				tokens[len(tokens)-1].text = strings.ToLower(t.text)
			case tokenParameter:
				tokens[len(tokens)-1].text = t.text[1:]
			}
		}
	}
	return tokens, nil
}

// unquotedToken returns the token at the start of sql with its original
// spelling.
func unquotedToken(sql string) token {
	c := sql[0]
	switch {
	case isWordStart(c):
		return token{tokenWord, prefixWhile(sql, 1, isWordPart)}
	case isDigit(c):
		return token{tokenNumber, prefixWhile(sql, 1, isNumberPart)}
	case c == '$' && len(sql) > 1 && isDigit(sql[1]):
		return token{tokenParameter, prefixWhile(sql, 1, isDigit)}
	case strings.HasPrefix(sql, "::"):
		return token{tokenSymbol, "::"}
	default:
		return token{tokenSymbol, sql[:1]}
	}
}

// quotedText returns the content of the quoted string at the start of sql and
// its length in bytes including the quotes, or 0 if the string is unterminated.
func quotedText(sql string, quote byte) (string, int) {
	for i := 1; i < len(sql); i++ {
		if sql[i] != quote {
			continue
		}
		if i+1 < len(sql) && sql[i+1] == quote {
			i++
			continue
		}
		q := string(quote)
		return strings.ReplaceAll(sql[1:i], q+q, q), i + 1
	}
	return "", 0
}

func prefixWhile(sql string, n int, match func(byte) bool) string {
	for n < len(sql) && match(sql[n]) {
		n++
	}
	return sql[:n]
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isNumberPart(c byte) bool { return isDigit(c) || c == '.' }

func isWordStart(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func isWordPart(c byte) bool { return isWordStart(c) || isDigit(c) }
