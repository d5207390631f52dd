package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	loggedEvent     = regexp.MustCompile(`Logger\.(?:Debug|Info|Warn|Error)\("([a-z_]+)"`)
	documentedEvent = regexp.MustCompile("`([a-z_]+)`")
)

// TestEventsAreDocumented guards against log events that are missing in the table of
// docs/OPERATIONS.md, and against events in the table that no code logs.
func TestEventsAreDocumented(t *testing.T) {
	logged := make(map[string]bool)
	// reporter.Writer writes this event itself, without a logger.
	logged["log_lines_dropped"] = true
	for _, folder := range []string{".", "accountant", "budgeter", "director", "exchanger", "hoster", "informer", "overseer"} {
		files, err := filepath.Glob(filepath.Join(folder, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, match := range loggedEvent.FindAllSubmatch(source, -1) {
				logged[string(match[1])] = true
			}
		}
	}
	page, err := os.ReadFile("docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(page), "| event | when |")
	if !found {
		t.Fatal("docs/OPERATIONS.md has no table of events")
	}
	table, _, _ = strings.Cut(table, "\n## ")
	documented := make(map[string]bool)
	for _, line := range strings.Split(table, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 2 {
			continue
		}
		for _, match := range documentedEvent.FindAllStringSubmatch(cells[1], -1) {
			documented[match[1]] = true
		}
	}
	documented["log_lines_dropped"] = true
	for event := range logged {
		if !documented[event] {
			t.Errorf("event %s is logged but not documented", event)
		}
	}
	for event := range documented {
		if !logged[event] {
			t.Errorf("event %s is documented but not logged", event)
		}
	}
}
