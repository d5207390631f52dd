package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestExplainRouting guards against a command that asks for another request than the operator
// means, and against output that leaves out the decision or a host's error.
func TestExplainRouting(t *testing.T) {
	const content = `{"host":"h1","route":"r1","service":"s1","customer":"c1","consistency":"bounded","write":false,` +
		`"decision":"refuse","code":"too_many","reason":"rate exceeded, retry in 50ms","view_age_ms":120,"view_current":true,"balanced":true,` +
		`"databases":[{"id":"d1","data_centre":"z1","primary":true,"chosen":true,"may_serve":true,"cost":12.5,"outstanding":3,"permits":4},` +
		`{"id":"d2","data_centre":"z2","reasons":["draining"],"permits":4}]}` + "\n"
	tests := []struct {
		name       string
		args       []string
		wantQuery  string
		wantCode   int
		wantOutput []string
	}{
		{
			name: "text", args: []string{"--service", "s1", "--consistency", "bounded", "--max-staleness", "2s", "--customer", "c1"},
			wantQuery: "consistency=bounded&customer=c1&max_staleness=2s&service=s1",
			wantOutput: []string{
				"h1: read of customer c1 on route r1 (bounded) of service s1\n", "decision: refuse too_many: rate exceeded, retry in 50ms\n",
				"d1 z1 primary yes 12.5 3 of 4 0\n", "d2 z2 replica no - 0 of 4 0 draining\n",
			},
		},
		{
			name: "JSON", args: []string{"--database", "pay", "--write", "--token", "3/7", "--json"},
			wantQuery: "consistency=primary&database=pay&token=3%2F7&write=true", wantOutput: []string{content},
		},
		{name: "error of the host", args: []string{"--service", "none"}, wantQuery: "consistency=primary&service=none", wantCode: exitFailed, wantOutput: []string{"404 Not Found: no route"}},
		{name: "neither service nor database", wantCode: exitFailed, wantOutput: []string{"give either --service or --database"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			query := ""
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				query = r.URL.RawQuery
				if r.URL.Path != "/explain" || strings.Contains(query, "none") {
					http.Error(w, "no route", http.StatusNotFound)
					return
				}
				fmt.Fprint(w, content)
			}))
			defer server.Close()
			var output bytes.Buffer
			env := &environment{ctx: t.Context(), stdout: &output, stderr: &output, now: time.Now}
			args := append([]string{"explain-routing", "--host", server.Listener.Addr().String()}, test.args...)
			if got := runIn(env, args); got != test.wantCode || query != test.wantQuery {
				t.Errorf("got exit code %d and query %q, want %d and %q", got, query, test.wantCode, test.wantQuery)
			}
			got := output.String()
			for _, want := range test.wantOutput {
				if !strings.Contains(got, want) && !strings.Contains(collapseSpaces(got), want) {
					t.Errorf("got %q, want it to contain %q", got, want)
				}
			}
		})
	}
}

// collapseSpaces replaces the spaces between the columns of a table by one.
func collapseSpaces(text string) string {
	var lines []string
	for line := range strings.Lines(text) {
		lines = append(lines, strings.Join(strings.Fields(line), " ")+"\n")
	}
	return strings.Join(lines, "")
}
