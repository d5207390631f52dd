package classifier

import "strings"

// classifySet sets what SET changes and to which value.
func classifySet(s *Statement, t statement) {
	s.Kind, s.Tainting = KindSet, true
	rest := t[1:]
	switch {
	case rest.at(0).word("local"):
		s.Kind, s.Tainting = KindSetLocal, false
		rest = rest[1:]
	case rest.at(0).word("session") && !rest.at(1).word("authorization") && !rest.at(1).word("characteristics"):
		rest = rest[1:]
	}
	switch first := rest.at(0); {
	case first.word("transaction"), first.word("constraints"):
		// These concern the present transaction only.
		s.Kind, s.Tainting = KindDefineTransaction, false
		return
	case first.word("session"):
		s.Name = "session_" + rest.at(1).text
		return
	case first.word("time") && rest.at(1).word("zone"):
		s.Name, s.Value = "timezone", settingValue(rest[2:])
		return
	case first.word("names"):
		s.Name, s.Value = "client_encoding", settingValue(rest[1:])
		return
	case first.word("role"):
		s.Name, s.Value = "role", settingValue(rest[1:])
		return
	}
	for i, u := range rest {
		if u.word("to") || u.symbol("=") {
			s.Name, s.Value = lower(joined(rest[:i])), settingValue(rest[i+1:])
			return
		}
	}
}

// settingName returns the lower-case name of the setting that tokens name.
func settingName(t statement) string {
	if t.at(0).word("time") && t.at(1).word("zone") {
		return "timezone"
	}
	return lower(joined(t))
}

// settingValue returns the decoded value of a setting. Several values are
// separated by a comma and a space, as SHOW prints them.
func settingValue(t statement) string {
	if len(t) == 1 && t[0].word("default") {
		return ""
	}
	var b strings.Builder
	for i, u := range t {
		switch {
		case u.symbol(","):
			b.WriteString(", ")
			continue
		case i > 0 && u.kind == tokenWord && t[i-1].kind == tokenWord:
			b.WriteByte(' ')
		}
		b.WriteString(u.text)
	}
	return b.String()
}
