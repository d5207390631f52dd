package classifier

import (
	"regexp"
	"strings"
	"testing"

	"github.com/endiveturn/endiveturn/executor"
)

// plainText matches texts without quotes, comments and dollar signs, in which
// words can be found without a lexer.
var plainText = regexp.MustCompile(`^[ -~\s]*$`)

var changingWord = regexp.MustCompile(`(?i)(^|[^a-z0-9_$])(insert|update|delete)($|[^a-z0-9_$])`)

// FuzzClassify guards against panics, and against reads that contain a part
// that changes data, whatever surrounds it.
func FuzzClassify(f *testing.F) {
	for _, seed := range []string{
		"SELECT 1", "SELECT 'a''b'; DELETE FROM t", "SELECT $a$b$a$", "SELECT E'\\'' -- x\nINSERT",
		"/* /* */ update */ select 1", "SELECT U&'\\0061' UESCAPE '!'", "SET a.b TO 'c'", "WITH x AS (", "1e5 0x1F $1",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		all := Classify(sql)
		for _, one := range Each(sql) {
			if all.Class == executor.ClassRead && one.Class != executor.ClassRead {
				t.Errorf("Classify(%q) is a read, one of its statements is not", sql)
			}
		}
		for _, suffix := range []string{"; DELETE FROM t", "; select 1; insert into t values (1)"} {
			if Classify(sql+suffix).Class == executor.ClassRead && closed(sql) {
				t.Errorf("Classify(%q) is a read", sql+suffix)
			}
		}
		if plainText.MatchString(sql) && !strings.ContainsAny(sql, `'"$`) &&
			!strings.Contains(sql, "--") && !strings.Contains(sql, "/*") &&
			changingWord.MatchString(sql) && all.Class == executor.ClassRead {
			t.Errorf("Classify(%q) is a read", sql)
		}
	})
}

// closed reports whether nothing in sql can swallow what is appended to it.
func closed(sql string) bool {
	return !strings.ContainsAny(sql, `'"$`) && !strings.Contains(sql, "--") && !strings.Contains(sql, "/*")
}
