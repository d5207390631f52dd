package hoster

import (
	"fmt"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/overseer"
	"github.com/endiveturn/endiveturn/storer"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// newTestHub returns the hub of a fleet with the given numbers of hosts, customers
// and services, and a report of one of the hosts that has demand for eight customers.
func newTestHub(hosts, customers, services int) (*Host, func(host int) exchanger.Message) {
	h := newTestHost(hosts)
	limits := make(map[string]limiter.Limit)
	for i := range customers {
		limits[fmt.Sprint("customer-", i)] = limiter.Limit{Rate: 20, Burst: 20}
	}
	h.limits.SetLimits(limits)
	h.limits.SetHosts(hosts)
	entries := []storer.Entry{{Key: overseer.LeaderKey, Value: []byte(`{"host":"h0"}`), ModRevision: 3}}
	for i := range hosts + 3*services {
		entries = append(entries, storer.Entry{Key: fmt.Sprint("servers/", i), Value: make([]byte, 200), ModRevision: int64(i + 4)})
	}
	h.mirror.Replace(entries, int64(hosts+3*services+4), timekeeper.Now())
	h.catalog.Endpoints = make(map[string][]cataloger.Endpoint)
	report := func(host int) exchanger.Message {
		r := exchanger.Report{
			Host: fmt.Sprint("h", host), Incarnation: "i", Revision: h.mirror.Revision(), Age: 100 * time.Millisecond, MajorityHeardAge: -1,
			Usages: make(map[string]exchanger.Usage), Primaries: make(map[string]exchanger.PrimaryHealth), ReleasedRevisions: make(map[string]int64),
		}
		for i := range 8 {
			r.Usages[fmt.Sprint("customer-", (host*7+i*13)%customers)] = exchanger.Usage{Used: 100, Demand: 1}
		}
		for i := range services {
			r.Primaries[fmt.Sprint("service-", i)] = exchanger.PrimaryHealth{ID: "i-1234567890", StartedAtMillis: 1790000000000, SinceSuccess: time.Second}
			r.ReleasedRevisions[fmt.Sprint("service-", i)] = 7
		}
		return exchanger.Message{Report: r}
	}
	for i := 1; i < hosts; i++ {
		h.exchanger.RecordMessage(report(i), timekeeper.Now())
	}
	return h, report
}

// BenchmarkHubExchange measures the processor time of the hub for one exchange,
// without its codec and the network.
func BenchmarkHubExchange(b *testing.B) {
	for _, hosts := range []int{88, 195, 730} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			h, report := newTestHub(hosts, 140, 20)
			messages := make([]exchanger.Message, hosts)
			for i := 1; i < hosts; i++ {
				messages[i] = report(i)
			}
			b.ResetTimer()
			for i := range b.N {
				host := 1 + i%(hosts-1)
				h.exchanger.RecordMessage(messages[host], timekeeper.Now())
				h.report(messages[host].Report.Host)
				h.recordsSince(messages[host].Report.Revision)
			}
		})
	}
}
