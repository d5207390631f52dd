package classifier

import (
	"runtime"
	"strings"
	"testing"

	"github.com/endiveturn/endiveturn/executor"
)

const (
	read  = executor.ClassRead
	write = executor.ClassWrite
)

// Guards against writes that are classified as reads, and against common reads
// that are not sent to replicas.
func TestClassifyClass(t *testing.T) {
	tests := []struct {
		sql  string
		want executor.Class
	}{
		{"", read},
		{"-- ping", read},
		{"SELECT 1", read},
		{"select 1;", read},
		{"VALUES (1), (2)", read},
		{"TABLE jobs", read},
		{"SHOW server_version", read},
		{"(SELECT 1) UNION (SELECT 2)", read},
		{"SELECT count(*), max(a) FROM t WHERE id IN (1, 2) AND b LIKE 'x%'", read},
		{"SELECT pg_catalog.lower(a) FROM t", read},
		{"SELECT a FROM t JOIN (SELECT 1 AS b) u ON (t.a = u.b)", read},
		{"SELECT rank() OVER (PARTITION BY a ORDER BY b) FROM t", read},
		{"SELECT a::numeric(10, 2), CAST(b AS varchar(3)) FROM t", read},
		{"WITH x AS (SELECT 1) SELECT * FROM x", read},
		{"WITH RECURSIVE x(n) AS (VALUES (1)) SELECT n FROM x", read},
		{"WITH x AS NOT MATERIALIZED (SELECT 1) SELECT * FROM x", read},
		{"SELECT 'INSERT INTO t', \"update\" FROM t", read},
		{"SELECT $$delete; drop$$, $a$;$$;$a$", read},
		{"SELECT E'it\\'s; insert' FROM t", read},
		{"SELECT /* nested /* insert */ delete */ 1 -- update\n", read},
		{"SELECT * FROM t WHERE id = $1", read},
		{"SELECT generate_series(1, 3), pg_sleep(0.1)", read},
		{"SELECT a FROM t WHERE a NOT LIKE ('x')", read},
		{"EXPLAIN SELECT 1", read},
		{"EXPLAIN (ANALYZE, BUFFERS) SELECT 1", read},
		{"SELECT 1; SELECT 2", read},
		{"SELECT 1; INSERT INTO t VALUES (1)", write},
		{"INSERT INTO t VALUES (1)", write},
		{"WITH x AS (INSERT INTO t VALUES (1) RETURNING *) SELECT * FROM x", write},
		{"WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x", write},
		{"WITH x AS (MERGE INTO t USING u ON true WHEN MATCHED THEN DO NOTHING) SELECT 1", write},
		{"EXPLAIN ANALYZE DELETE FROM t", write},
		{"EXPLAIN (ANALYZE) UPDATE t SET a = 1", write},
		{"SELECT * FROM t FOR UPDATE", write},
		{"SELECT * FROM t FOR NO KEY UPDATE", write},
		{"SELECT * FROM t FOR SHARE", write},
		{"SELECT * FROM t FOR KEY SHARE SKIP LOCKED", write},
		{"SELECT * INTO u FROM t", write},
		{"SELECT nextval('s')", write},
		{"SELECT pg_catalog.nextval('s')", write},
		{"SELECT my_function(1)", write},
		{"SELECT \"Count\"(1)", write},
		{"SELECT app.lower('x')", write},
		{"SELECT join(1)", write},
		{"SELECT over(1)", write},
		{"SELECT hash(1)", write},
		{"SELECT a.b.lower(1)", write},
		{"SELECT lo/**/wer2 ('x')", write},
		{"SELECT 'open", write},
		{"SELECT 1 /* open", write},
		{"SELECT $a$ open $b$", write},
		{"SELECT E'a'\n'\\'; DELETE FROM t; --'", write},
		{"SELECT U&'\\0061'", write},
		{"SELECT U&'!0061' UESCAPE '!'", write},
		{"CALL p()", write},
		{"DO $$ BEGIN END $$", write},
		{"COPY t TO STDOUT", write},
		{"BEGIN", executor.ClassBegin},
		{"START TRANSACTION ISOLATION LEVEL SERIALIZABLE", executor.ClassBegin},
		{"begin read only", executor.ClassBeginRead},
		{"BEGIN ISOLATION LEVEL REPEATABLE READ, READ ONLY", executor.ClassBeginRead},
		{"BEGIN READ ONLY, READ WRITE", executor.ClassBegin},
		{"COMMIT", write},
	}
	for _, test := range tests {
		if got := Classify(test.sql).Class; got != test.want {
			t.Errorf("Classify(%q).Class = %v, want %v", test.sql, got, test.want)
		}
	}
}

// Guards against connections that return to the pool with state on them, and
// against ordinary writes whose connection is closed needlessly.
func TestClassifyChangesConnectionState(t *testing.T) {
	tests := []struct {
		sql  string
		want bool
	}{
		{"SELECT 1", false},
		{"INSERT INTO t (a, b) VALUES (1, lower('X'))", false},
		{"INSERT INTO app.t (a) SELECT a FROM u ON CONFLICT (a) DO UPDATE SET (a) = (1)", false},
		{"INSERT INTO t VALUES (nextval('s')) RETURNING id", false},
		{"UPDATE t SET a = coalesce(a, 0) + 1 WHERE id = $1", false},
		{"DELETE FROM t WHERE a IN (SELECT a FROM u)", false},
		{"SET LOCAL a = 1", false},
		{"SET TRANSACTION READ ONLY", false},
		{"BEGIN", false},
		{"SET a = 1", true},
		{"RESET a", true},
		{"DISCARD ALL", true},
		{"LISTEN c", true},
		{"PREPARE p AS SELECT 1", true},
		{"DECLARE c CURSOR WITH HOLD FOR SELECT 1", true},
		{"DECLARE c CURSOR FOR SELECT 1", false},
		{"CREATE TEMP TABLE t AS SELECT 1", true},
		{"SELECT 1 AS a INTO TEMPORARY t", true},
		{"SELECT pg_advisory_lock(1)", true},
		{"SELECT pg_advisory_xact_lock(1)", false},
		{"SELECT set_config('a', 'b', false)", true},
		{"INSERT INTO t VALUES (unknown(1))", true},
		{"DO $$ BEGIN END $$", true},
		{"SELECT 1; SET a = 1", true},
	}
	for _, test := range tests {
		if got := Classify(test.sql).ChangesConnectionState; got != test.want {
			t.Errorf("Classify(%q).ChangesConnectionState = %v, want %v", test.sql, got, test.want)
		}
	}
}

// Guards against clients that take values and locks of a pooled connection for
// their own.
func TestClassifyConnectionBound(t *testing.T) {
	tests := []struct {
		sql  string
		want bool
	}{
		{"SELECT lastval()", true},
		{"INSERT INTO t VALUES (1); SELECT pg_catalog.currval('s')", true},
		{"SELECT pg_try_advisory_lock(1)", true},
		{"SELECT pg_advisory_xact_lock(1)", false},
		{"SELECT nextval('s'), 'lastval()'", false},
	}
	for _, test := range tests {
		if got := Classify(test.sql).ConnectionBound; got != test.want {
			t.Errorf("Classify(%q).ConnectionBound = %v, want %v", test.sql, got, test.want)
		}
	}
}

// Guards against proxy settings that are not recognized in one of the forms
// that drivers use.
func TestClassifySettings(t *testing.T) {
	tests := []struct {
		sql, name, value string
		kind             Kind
	}{
		{"SET endiveturn.session = 'a b'", "endiveturn.session", "a b", KindSet},
		{"set session \"endiveturn\".Token to 'a/1/2'", "endiveturn.token", "a/1/2", KindSet},
		{"SET LOCAL TimeZone TO 'UTC'", "timezone", "UTC", KindSetLocal},
		{"SET TIME ZONE 'UTC'", "timezone", "UTC", KindSet},
		{"SET NAMES 'UTF8'", "client_encoding", "UTF8", KindSet},
		{"SET DateStyle = ISO, MDY", "datestyle", "iso, mdy", KindSet},
		{"SET a TO DEFAULT", "a", "", KindSet},
		{"SET SESSION AUTHORIZATION bob", "session_authorization", "", KindSet},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", "session_characteristics", "", KindSet},
		{"SHOW endiveturn.token", "endiveturn.token", "", KindShow},
		{"RESET ALL", "all", "", KindReset},
		{"DISCARD ALL", "all", "", KindDiscard},
		{"DEALLOCATE PREPARE p", "p", "", KindDeallocate},
		{"ROLLBACK TO SAVEPOINT a", "", "", KindSavepoint},
		{"ROLLBACK", "", "", KindRollback},
		{"PREPARE TRANSACTION 'x'", "", "", KindTwoPhaseCommit},
		{" ; ", "", "", KindEmpty},
		{"SET a = 1; SET b = 2", "", "", KindOther},
	}
	for _, test := range tests {
		got := Classify(test.sql)
		if got.Name != test.name || got.Value != test.value || got.Kind != test.kind {
			t.Errorf("Classify(%q) = %q, %q, %q, want %q, %q, %q", test.sql,
				got.Kind, got.Name, got.Value, test.kind, test.name, test.value)
		}
	}
}

// Guards against a client that names the customer setting in an obfuscated
// form.
func TestClassifyCustomerSetting(t *testing.T) {
	tests := []struct {
		sql  string
		want bool
	}{
		{"SET endiveturn.customer = 'x'", true},
		{"set EndiveTurn . /* */ \"customer\" to x", true},
		{"SELECT set_config('endiveturn.customer', 'x', false)", true},
		{"SELECT set_config('endiveturn' || '.customer', 'x', false)", true},
		{"SELECT set_config(a, 'x', false) FROM t", true},
		{"SELECT set_config('other', 'x', false)", false},
		{"SELECT E'endive\\x74urn.c\\165stomer'", true},
		{"SELECT U&'endive\\0074urn.customer'", true},
		{"SELECT 1; SHOW endiveturn.customer", true},
		{"DO $$ BEGIN SET endiveturn.customer = 'x'; END $$", true},
		{"DO $$ BEGIN EXECUTE 'SET endive' || 'turn.customer = x'; END $$", true},
		{"SELECT customer FROM endiveturn", false},
	}
	for _, test := range tests {
		if got := Classify(test.sql).MentionsCustomerSetting; got != test.want {
			t.Errorf("Classify(%q).MentionsCustomerSetting = %v, want %v", test.sql, got, test.want)
		}
	}
}

// TestLongLiterals guards against copies of long literals, of which a crowd of clients
// makes a process run out of memory.
func TestLongLiterals(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	tests := []struct {
		name, text string
		// limit is the greatest number of bytes that may be allocated.
		limit uint64
	}{
		{"plain", "SELECT '" + long + "'", 64 << 10},
		{"quoted name", `SELECT "` + long + `"`, 64 << 10},
		// It is searched for the name of a setting, which takes two copies.
		{"not terminated", "SELECT '" + long, 9 << 18},
		{"doubled quote", "SELECT '''" + long + "'", 5 << 18},
		{"escape", `SELECT E'\t` + long + "'", 5 << 18},
	}
	for _, test := range tests {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		Classify(test.text)
		runtime.ReadMemStats(&after)
		if got := after.TotalAlloc - before.TotalAlloc; got > test.limit {
			t.Errorf("%s: allocated: got %d bytes, want at most %d", test.name, got, test.limit)
		}
	}
}
