package classifier

import "strings"

// customerSetting is the setting in which the proxy passes the customer of a
// statement to an endpoint.
const customerSetting = "endiveturn.customer"

// customerSettingLetters is the set of letters in customerSetting.
var customerSettingLetters = addLetters(0, customerSetting)

// mentionsCustomerSetting reports whether the tokens contain the name of the
// setting: as an identifier, in a literal or in literals concatenated with the
// operator ||. A call of set_config whose first argument is not a single
// literal could name any setting and also counts.
func mentionsCustomerSetting(tokens []token) bool {
	var seen uint32
	unknown := false
	for i, t := range tokens {
		seen = addLetters(seen, t.text)
		unknown = unknown || t.kind == tokenUnknown
		if (t.kind == tokenWord || t.kind == tokenQuoted) && t.text == "set_config" && !hasLiteralFirstArgument(tokens[i+1:]) {
			return true
		}
	}
	if !unknown && seen&customerSettingLetters != customerSettingLetters {
		// Fast path: most statements lack at least one of the letters.
		return false
	}
	text := normalizedText(tokens)
	// Escape sequences in text that the lexer could not interpret could encode
	// the name.
	return strings.Contains(text, customerSetting) || (unknown && strings.Contains(text, `\`))
}

// separators are characters that may stand between parts of the name, including
// in the body of a function or of DO, which is itself a literal.
const separators = "|()'\" \t\n\r\f\v"

// normalizedText returns the concatenated texts of tokens in lower case and
// without separators.
func normalizedText(tokens []token) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(lower(t.text))
	}
	return strings.Map(func(r rune) rune {
		if strings.ContainsRune(separators, r) {
			return -1
		}
		return r
	}, b.String())
}

// addLetters adds the letters and full stops of s to a bit set.
func addLetters(seen uint32, s string) uint32 {
	for i := range len(s) {
		switch c := s[i] | 0x20; {
		case c >= 'a' && c <= 'z':
			seen |= 1 << (c - 'a')
		case s[i] == '.':
			seen |= 1 << 26
		}
	}
	return seen
}

// hasLiteralFirstArgument reports whether tokens begin with a parenthesis, one
// literal and a comma.
func hasLiteralFirstArgument(tokens []token) bool {
	t := tokenList(tokens)
	return t.at(0).isSymbol("(") && t.at(1).kind == tokenString && t.at(2).isSymbol(",")
}
