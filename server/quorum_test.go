package server

import (
	"fmt"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/gossiper"
)

// Guards against hosts that are cut off and claim services from the majority,
// and against survivors of a great failure that never claim.
func TestQuorum(t *testing.T) {
	start := time.Now()
	for _, c := range []struct {
		name     string
		majority []bool
		// takenAt is the second in which the service is lost; -1 for never.
		takenAt int
		fresh   bool
		after   time.Duration
		want    bool
	}{
		{"majority", []bool{true}, -1, false, 0, true},
		{"majority that lost the service", []bool{true}, 0, false, 0, true},
		{"just cut off", []bool{true, false}, -1, true, 0, false},
		{"cut off and not fresh", []bool{false}, -1, false, minorityWait, false},
		{"survivors", []bool{false}, -1, true, minorityWait, true},
		{"service was taken", []bool{false}, 0, true, minorityWait, false},
		{"service was taken long ago", []bool{false}, 0, true, minorityPause, true},
		{"just heard again", []bool{false, true}, 0, false, 0, false},
		{"heard again", []bool{false, true}, 0, false, rejoinWait, true},
		{"cut off again", []bool{false, true, false}, 0, true, minorityWait, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := &quorum{}
			now := start
			for i, majority := range c.majority {
				now = start.Add(time.Duration(i) * time.Second)
				q.observe(majority, now)
				if i == c.takenAt {
					q.lost("ledger", now)
				}
			}
			if got := q.mayClaim("ledger", c.fresh, now.Add(c.after)); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a part of a fleet that counts itself as the majority because it
// forgets hosts that failed, are suspected or were never met.
func TestHearsMajority(t *testing.T) {
	const alive, suspect, failed, left = gossiper.Alive, gossiper.Suspect, gossiper.Failed, gossiper.Left
	for _, c := range []struct {
		name   string
		states []gossiper.State
		unmet  int
		want   bool
	}{
		{"alone", []gossiper.State{alive}, 0, true},
		{"alone with seeds", []gossiper.State{alive}, 2, false},
		{"two of three", []gossiper.State{failed, alive, alive}, 0, true},
		{"one of three", []gossiper.State{alive, failed, failed}, 0, false},
		{"suspects", []gossiper.State{alive, suspect, suspect}, 0, false},
		{"those who left", []gossiper.State{alive, left, left}, 0, true},
		{"half with the first", []gossiper.State{alive, failed}, 0, true},
		{"half without the first", []gossiper.State{failed, alive}, 0, false},
		{"one seed not met", []gossiper.State{alive, alive}, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			view := &gossiper.View{}
			var seeds []string
			for i := range len(c.states) + c.unmet {
				address := fmt.Sprint("address", i)
				seeds = append(seeds, address)
				if i < len(c.states) {
					host := gossiper.Host{Name: fmt.Sprint("h", i), PeerAddress: address, State: c.states[i]}
					view.Hosts = append(view.Hosts, gossiper.HostView{Host: host})
				}
			}
			if got := hearsMajority(view, seeds); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
