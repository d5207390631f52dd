package classifier

import "strings"

// customerSetting is the setting by which the proxy tells an endpoint on whose
// behalf a statement runs.
const customerSetting = "endiveturn.customer"

// mentionsCustomer reports whether the tokens spell the setting: as a name, in
// a literal or in literals joined with the operator ||. A call of set_config
// whose first argument is not a single literal could name any setting and
// counts as well.
func mentionsCustomer(tokens []token) bool {
	var b strings.Builder
	unknown := false
	for i, t := range tokens {
		switch {
		case t.symbol("|"), t.symbol("("), t.symbol(")"):
			continue
		case (t.kind == tokenWord || t.kind == tokenQuoted) && t.text == "set_config" && !plainArgument(tokens[i+1:]):
			return true
		case t.kind == tokenUnknown:
			unknown = true
		}
		b.WriteString(lower(t.text))
	}
	text := strings.Join(strings.Fields(b.String()), "")
	if strings.Contains(text, customerSetting) {
		return true
	}
	// Escapes in text that is not understood could spell the name.
	return unknown && strings.Contains(text, `\`)
}

// plainArgument reports whether tokens begin with a parenthesis, one literal
// and a comma.
func plainArgument(tokens []token) bool {
	t := statement(tokens)
	return t.at(0).symbol("(") && t.at(1).kind == tokenString && t.at(2).symbol(",")
}
