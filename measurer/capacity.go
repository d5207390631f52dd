package measurer

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// The size to design for.
const (
	designHosts       = 730.0
	designDatabases   = 850.0
	designServices    = designDatabases / databasesPerService
	designConnections = 3e6
	designStatements  = 290_000.0
	designChanges     = 510.0
	designDataCentres = 4.0
	// designCustomers is assumed; it is not part of the stated size.
	designCustomers = 2000.0
	secondsPerDay   = 86400.0
	// designTransfers is the number of token transfers a second in the fleet. A
	// transfer moves up to half of a burst; a customer whose burst lasts a
	// second and that uses one of three services only needs 1.3 a second, one
	// that uses all alike none.
	designTransfers = designCustomers
	// designForwarded is the part of the statements that reach a host that does
	// not hold the service.
	designForwarded = 1 - 1/designHosts
	// storePoll is the mean time between two reads of the head by a host that
	// does not watch, in seconds, and storeWatchers the hosts that watch, each
	// of which also reads the head once a second.
	storePoll     = 30.0
	storeWatchers = 3 * designDataCentres
)

// Limits on what control costs a host, and on the store.
const (
	limitCorePercent   = 4.4
	limitMemory        = 256e6
	limitTraffic       = 4e3
	limitStoreReads    = 2000.0
	idleMemoryTarget   = 16 << 10
	microsecondsPerSec = 1e6
)

// ErrNoSlope says that a slope is missing in the measured file.
var ErrNoSlope = errors.New("slope not measured")

// A capacityRow is one line of the page's table.
type capacityRow struct {
	role, quantity, mechanism string
	value                     float64
	unit                      string
	// limit is 0 where none is stated.
	limit float64
	from  string
}

// CapacityTable returns the table of docs/CAPACITY.md in Markdown, worked out
// from measured slopes.
func CapacityTable(slopes []Slope) (string, error) {
	c := &capacity{slopes: make(map[string]Slope, len(slopes))}
	for _, s := range slopes {
		c.slopes[s.Name] = s
	}
	rows := c.rows()
	if c.err != nil {
		return "", c.err
	}
	var b strings.Builder
	b.WriteString("| role | quantity per host unless stated | value | limit | part of the limit | carried by | from slopes |\n")
	b.WriteString("|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		limit, part := "-", "-"
		if r.limit > 0 {
			limit = fmt.Sprintf("%.4g %s", r.limit, r.unit)
			part = fmt.Sprintf("%.1f%%", 100*r.value/r.limit)
		}
		fmt.Fprintf(&b, "| %s | %s | %.4g %s | %s | %s | %s | %s |\n", r.role, r.quantity, r.value, r.unit, limit, part, r.mechanism, r.from)
	}
	return b.String(), nil
}

// A capacity works rows out of slopes and remembers the first that is missing.
type capacity struct {
	slopes map[string]Slope
	err    error
}

// at returns the cost of a slope at a size, and per the cost of one more unit.
func (c *capacity) at(name string, size float64) float64 {
	s, ok := c.slopes[name]
	if !ok && c.err == nil {
		c.err = errors.Wrap(ErrNoSlope, name)
	}
	return s.Base + s.PerUnit*size
}

func (c *capacity) per(name string) float64 { return c.at(name, 1) - c.at(name, 0) }

// corePercent converts processor time in us per second.
func corePercent(us float64) float64 { return us / microsecondsPerSec * 100 }

func (c *capacity) rows() []capacityRow {
	servicesPerHost := designServices / designHosts
	statements := designStatements / designHosts
	held := designStatements / designServices
	proxied := c.per("statement_held_processor") - c.per("statement_direct_processor")
	forwarded := c.per("statement_forwarded_processor") - c.per("statement_held_processor")
	objects := 3*designCustomers + designDatabases + 2*designServices + designDataCentres
	// Each heartbeat costs its transport at both ends, as a token transfer does.
	gossipCPU := c.at("gossip_processor", designHosts) + c.at("gossip_heartbeats", designHosts)*c.per("token_transfer_processor")
	gossipBytes := c.at("gossip_traffic", designHosts)
	transfers := designTransfers / designHosts
	transferBytes := 2 * transfers * c.per("token_transfer_traffic")
	transferCPU := transfers * c.per("token_transfer_processor")
	changeBytes := designChanges / secondsPerDay * c.at("delta_size", objects) * 2
	changeCPU := designChanges / secondsPerDay * c.at("delta_processor", objects)
	holderCPU := servicesPerHost * c.per("held_service_processor")
	holderBytes := servicesPerHost * c.per("held_service_traffic")
	setMemory := (8 + 1) * c.at("set_memory", objects)
	controlCPU := gossipCPU + transferCPU + changeCPU + holderCPU
	controlMemory := setMemory + c.at("gossip_memory", designHosts)
	controlBytes := gossipBytes + transferBytes + changeBytes + holderBytes
	return []capacityRow{
		{"entry host", "memory of idle caller connections", "one goroutine and small buffers per connection", designConnections / designHosts * c.per("idle_connection_memory") / 1e6, "MB", 0, "idle_connection_memory"},
		{"entry host", "memory of one idle caller connection", "the same", c.per("idle_connection_memory") / 1024, "KiB", idleMemoryTarget / 1024, "idle_connection_memory"},
		{"entry host", "processor time of its statements", "forwarding over drpc", corePercent(statements * (proxied + designForwarded*forwarded)), "% of a core", 0, "statement_*_processor"},
		{"holder of a service", "processor time of the service's statements (data)", "one queue and pool per database", corePercent(held * proxied), "% of a core", 0, "statement_held_processor, statement_direct_processor"},
		{"group watcher", "processor time", "status streams, one per database of a held service", corePercent(holderCPU), "% of a core", limitCorePercent, "held_service_processor"},
		{"group watcher", "traffic", "the same", holderBytes, "bytes/s", limitTraffic, "held_service_traffic"},
		{"share holder", "processor time", "token transfers between holders", corePercent(transferCPU), "% of a core", limitCorePercent, "token_transfer_processor"},
		{"share holder", "traffic", "the same", transferBytes, "bytes/s", limitTraffic, "token_transfer_traffic"},
		{"member", "processor time", "heartbeats to two peers a round", corePercent(gossipCPU), "% of a core", limitCorePercent, "gossip_processor, gossip_heartbeats, token_transfer_processor"},
		{"member", "traffic", "the same", gossipBytes, "bytes/s", limitTraffic, "gossip_traffic"},
		{"member", "memory", "one entry per host", c.at("gossip_memory", designHosts) / 1e6, "MB", limitMemory / 1e6, "gossip_memory"},
		{"configuration relay", "processor time", "deltas between peers", corePercent(changeCPU), "% of a core", limitCorePercent, "delta_processor"},
		{"configuration relay", "traffic", "the same", changeBytes, "bytes/s", limitTraffic, "delta_size"},
		{"configuration relay", "memory of the set and eight former ones", "kept to send deltas against", setMemory / 1e6, "MB", limitMemory / 1e6, "set_memory"},
		{"all control", "processor time", "sum", corePercent(controlCPU), "% of a core", limitCorePercent, "all of the above"},
		{"all control", "memory", "sum", controlMemory / 1e6, "MB", limitMemory / 1e6, "set_memory, gossip_memory"},
		{"all control", "traffic", "sum", controlBytes, "bytes/s", limitTraffic, "all of the above"},
		{"store", "calls per second of the fleet, a waiting watch as one", "three watchers per data centre, a slow poll by the others", 2*storeWatchers + (designHosts-storeWatchers)/storePoll, "calls/s", limitStoreReads, "mechanism"},
		{"store", "size of a set, in chunks of at most 900 KB", "chunks named by the head", c.at("set_size", objects) / 1e6, "MB", 0, "set_size"},
		{"store", "writes per second of the fleet", "head, chunks and deletions per publication", 4 * designChanges / secondsPerDay, "writes/s", 0, "mechanism"},
	}
}

// SlopeTable returns the slopes in Markdown.
func SlopeTable(slopes []Slope) string {
	var b strings.Builder
	b.WriteString("| slope | cost | grows with | at 0 | per unit | standard error | sizes | measured on |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|\n")
	for _, s := range slopes {
		fmt.Fprintf(&b, "| %s | %s | %s | %.4g | %.4g | %.2g | %d | %s |\n", s.Name, s.Unit, s.Size, s.Base, s.PerUnit, s.Error, len(s.Points), s.Method)
	}
	return b.String()
}
