package hoster

import (
	"fmt"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
)

// TestNewHosts guards against a restarted host that gets services back before it can serve
// them, and against a host that takes the whole fleet for new when it starts itself.
func TestNewHosts(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(100, 0).Add(time.Duration(s * float64(time.Second))) }
	first := map[string]cataloger.Host{"a": {Incarnation: "1"}, "b": {Incarnation: "1"}}
	restarted := map[string]cataloger.Host{"a": {Incarnation: "2"}, "b": {Incarnation: "1"}, "c": {Incarnation: "1"}}
	hosts := make(newHosts)
	for _, step := range []struct {
		at    float64
		hosts map[string]cataloger.Host
		want  map[string]bool
	}{
		{at: 0, hosts: first, want: map[string]bool{}},
		{at: 10, hosts: restarted, want: map[string]bool{"a": true, "c": true}},
		{at: 12.9, hosts: restarted, want: map[string]bool{"a": true, "c": true}},
		{at: 13, hosts: restarted, want: map[string]bool{}},
		{at: 14, hosts: first, want: map[string]bool{"a": true}},
	} {
		if got := hosts.update(step.hosts, at(step.at)); fmt.Sprint(got) != fmt.Sprint(step.want) {
			t.Errorf("at %v s: got %v, want %v", step.at, got, step.want)
		}
	}
}
