package classifier

import "strings"

// customerSetting is the setting by which the proxy tells an endpoint on whose
// behalf a statement runs.
const customerSetting = "endiveturn.customer"

// customerLetters are the letters of customerSetting.
var customerLetters = letters(0, customerSetting)

// mentionsCustomer reports whether the tokens spell the setting: as a name, in
// a literal or in literals joined with the operator ||. A call of set_config
// whose first argument is not a single literal could name any setting and
// counts as well.
func mentionsCustomer(tokens []token) bool {
	var seen uint32
	unknown := false
	for i, t := range tokens {
		seen = letters(seen, t.text)
		unknown = unknown || t.kind == tokenUnknown
		if (t.kind == tokenWord || t.kind == tokenQuoted) && t.text == "set_config" && !plainArgument(tokens[i+1:]) {
			return true
		}
	}
	if !unknown && seen&customerLetters != customerLetters {
		// Most statements lack one of the letters, which is cheap to see.
		return false
	}
	text := spelled(tokens)
	// Escapes in text that is not understood could spell the name.
	return strings.Contains(text, customerSetting) || (unknown && strings.Contains(text, `\`))
}

// joints are what may stand between the parts of a name, also in the body of
// a function or of DO, which is a literal itself.
const joints = "|()'\" \t\n\r\f\v"

// spelled returns the texts of tokens in lower case and without joints.
func spelled(tokens []token) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(lower(t.text))
	}
	return strings.Map(func(r rune) rune {
		if strings.ContainsRune(joints, r) {
			return -1
		}
		return r
	}, b.String())
}

// letters adds the letters and full stops of s to a set of one bit each.
func letters(seen uint32, s string) uint32 {
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

// plainArgument reports whether tokens begin with a parenthesis, one literal
// and a comma.
func plainArgument(tokens []token) bool {
	t := statement(tokens)
	return t.at(0).symbol("(") && t.at(1).kind == tokenString && t.at(2).symbol(",")
}
