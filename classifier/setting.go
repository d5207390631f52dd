package classifier

import "strings"

// classifySet sets the kind, the setting name and the value of SET.
func classifySet(s *Statement, t tokenList) {
	s.Kind, s.ChangesConnectionState = KindSet, true
	rest := t[1:]
	switch {
	case rest.at(0).isWord("local"):
		s.Kind, s.ChangesConnectionState = KindSetLocal, false
		rest = rest[1:]
	case rest.at(0).isWord("session") && !rest.at(1).isWord("authorization") && !rest.at(1).isWord("characteristics"):
		rest = rest[1:]
	}
	switch first := rest.at(0); {
	case first.isWord("transaction"), first.isWord("constraints"):
		// These affect only the current transaction.
		s.Kind, s.ChangesConnectionState = KindSetTransaction, false
		return
	case first.isWord("session"):
		s.Name = "session_" + rest.at(1).text
		return
	case first.isWord("time") && rest.at(1).isWord("zone"):
		s.Name, s.Value = "timezone", settingValue(rest[2:])
		return
	case first.isWord("names"):
		s.Name, s.Value = "client_encoding", settingValue(rest[1:])
		return
	case first.isWord("role"):
		s.Name, s.Value = "role", settingValue(rest[1:])
		return
	}
	for i, u := range rest {
		if u.isWord("to") || u.isSymbol("=") {
			s.Name, s.Value = lower(joinText(rest[:i])), settingValue(rest[i+1:])
			return
		}
	}
}

// settingName returns the lower-case name of the setting that the tokens
// contain.
func settingName(t tokenList) string {
	if t.at(0).isWord("time") && t.at(1).isWord("zone") {
		return "timezone"
	}
	return lower(joinText(t))
}

// settingValue returns the decoded value of a setting. Multiple values are
// separated by a comma and a space, as in the output of SHOW.
func settingValue(t tokenList) string {
	if len(t) == 1 && t[0].isWord("default") {
		return ""
	}
	var b strings.Builder
	for i, u := range t {
		switch {
		case u.isSymbol(","):
			b.WriteString(", ")
			continue
		case i > 0 && u.kind == tokenWord && t[i-1].kind == tokenWord:
			b.WriteByte(' ')
		}
		b.WriteString(u.text)
	}
	return b.String()
}
