package main

import (
	"os"
	"strings"
	"testing"
)

// Guards against a capacity page that no longer says what its slopes give.
func TestCapacityPage(t *testing.T) {
	table, err := capacityTable("docs/slopes.json")
	if err != nil {
		t.Fatalf("capacityTable: %v", err)
	}
	page, err := os.ReadFile("docs/CAPACITY.md")
	if err != nil {
		t.Fatalf("read page: %v", err)
	}
	want, err := replaceTable(string(page), table)
	if err != nil {
		t.Fatalf("replaceTable: %v", err)
	}
	if got := string(page); got != want {
		t.Errorf("docs/CAPACITY.md: got another table than its slopes give; run endiveturn capacity docs/slopes.json --page docs/CAPACITY.md")
	}
	if _, err := replaceTable("no marks", table); err == nil || !strings.Contains(err.Error(), "no marks") {
		t.Errorf("replaceTable without marks: got %v, want an error", err)
	}
}
