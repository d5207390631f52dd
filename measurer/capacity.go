package measurer

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// The design size of the fleet.
const (
	designHosts       = 730.0
	designDatabases   = 850.0
	designServices    = designDatabases / databasesPerService
	designConnections = 3e6
	designStatements  = 290_000.0
	designChanges     = 510.0
	designDataCentres = 4.0
	// designCustomers is an assumption; the stated size does not include it.
	designCustomers = 2000.0
	secondsPerDay   = 86400.0
	// designTransfers is the number of token transfers per second in the fleet. A
	// transfer moves up to half of a burst. A customer whose burst lasts one
	// second needs 1.3 transfers per second if it uses only one of three services,
	// and none if it uses all of them equally.
	designTransfers = designCustomers
	// designForwarded is the fraction of the statements that reach a host that
	// does not hold the service.
	designForwarded = 1 - 1/designHosts
	// storePollSeconds is the mean time between two reads of the configuration
	// head in the store by a host that does not watch it. storeWatchers is the
	// number of hosts that watch it; each of them also reads it once a second.
	storePollSeconds = 30.0
	storeWatchers    = 3 * designDataCentres
)

// Limits on the cost of control per host, and on the load of the store. Memory is
// in bytes, traffic in bytes/s, and reads are per second.
const (
	limitCorePercent   = 4.4
	limitMemory        = 256e6
	limitTraffic       = 4e3
	limitStoreReads    = 2000.0
	idleMemoryTarget   = 16 << 10
	microsecondsPerSec = 1e6
)

// ErrNoSlope is returned when a required slope is missing.
var ErrNoSlope = errors.New("slope not measured")

// A capacityRow is one row of the capacity table.
type capacityRow struct {
	role, quantity, mechanism string
	value                     float64
	unit                      string
	// limit is 0 if there is none.
	limit  float64
	slopes string
}

// CapacityTable returns the table of docs/CAPACITY.md in Markdown, computed from
// measured slopes.
func CapacityTable(slopes []Slope) (string, error) {
	c := &capacityModel{slopes: make(map[string]Slope, len(slopes))}
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
		limit, share := "-", "-"
		if r.limit > 0 {
			limit = fmt.Sprintf("%.4g %s", r.limit, r.unit)
			share = fmt.Sprintf("%.1f%%", 100*r.value/r.limit)
		}
		fmt.Fprintf(&b, "| %s | %s | %.4g %s | %s | %s | %s | %s |\n", r.role, r.quantity, r.value, r.unit, limit, share, r.mechanism, r.slopes)
	}
	return b.String(), nil
}

// A capacityModel computes the rows from the slopes. err names the first slope
// that is missing.
type capacityModel struct {
	slopes map[string]Slope
	err    error
}

// costAt returns the cost of a slope at a size.
func (c *capacityModel) costAt(name string, size float64) float64 {
	s, ok := c.slopes[name]
	if !ok && c.err == nil {
		c.err = errors.Wrap(ErrNoSlope, name)
	}
	return s.Intercept + s.PerUnit*size
}

// costPerUnit returns the growth of a slope's cost per unit of its size.
func (c *capacityModel) costPerUnit(name string) float64 {
	return c.costAt(name, 1) - c.costAt(name, 0)
}

// corePercent converts processor time in us per second to percent of a core.
func corePercent(us float64) float64 { return us / microsecondsPerSec * 100 }

func (c *capacityModel) rows() []capacityRow {
	servicesPerHost := designServices / designHosts
	statementsPerHost := designStatements / designHosts
	statementsPerService := designStatements / designServices
	proxied := c.costPerUnit("statement_held_processor") - c.costPerUnit("statement_direct_processor")
	forwarded := c.costPerUnit("statement_forwarded_processor") - c.costPerUnit("statement_held_processor")
	objects := 3*designCustomers + designDatabases + 2*designServices + designDataCentres
	// The transport of a heartbeat costs both hosts as much as that of a token
	// transfer.
	gossipCPU := c.costAt("gossip_processor", designHosts) + c.costAt("gossip_heartbeats", designHosts)*c.costPerUnit("token_transfer_processor")
	gossipBytes := c.costAt("gossip_traffic", designHosts)
	transfers := designTransfers / designHosts
	transferBytes := 2 * transfers * c.costPerUnit("token_transfer_traffic")
	transferCPU := transfers * c.costPerUnit("token_transfer_processor")
	changeBytes := designChanges / secondsPerDay * c.costAt("delta_size", objects) * 2
	changeCPU := designChanges / secondsPerDay * c.costAt("delta_processor", objects)
	holderCPU := servicesPerHost * c.costPerUnit("held_service_processor")
	holderBytes := servicesPerHost * c.costPerUnit("held_service_traffic")
	configMemory := (8 + 1) * c.costAt("set_memory", objects)
	controlCPU := gossipCPU + transferCPU + changeCPU + holderCPU
	controlMemory := configMemory + c.costAt("gossip_memory", designHosts)
	controlBytes := gossipBytes + transferBytes + changeBytes + holderBytes
	return []capacityRow{
		{"entry host", "memory of idle caller connections", "one goroutine and small buffers per connection", designConnections / designHosts * c.costPerUnit("idle_connection_memory") / 1e6, "MB", 0, "idle_connection_memory"},
		{"entry host", "memory of one idle caller connection", "the same", c.costPerUnit("idle_connection_memory") / 1024, "KiB", idleMemoryTarget / 1024, "idle_connection_memory"},
		{"entry host", "processor time of its statements", "forwarding over drpc", corePercent(statementsPerHost * (proxied + designForwarded*forwarded)), "% of a core", 0, "statement_*_processor"},
		{"holder of a service", "processor time of the service's statements (data)", "one queue and pool per database", corePercent(statementsPerService * proxied), "% of a core", 0, "statement_held_processor, statement_direct_processor"},
		{"group watcher", "processor time", "status streams, one per database of a held service", corePercent(holderCPU), "% of a core", limitCorePercent, "held_service_processor"},
		{"group watcher", "traffic", "the same", holderBytes, "bytes/s", limitTraffic, "held_service_traffic"},
		{"share holder", "processor time", "token transfers between holders", corePercent(transferCPU), "% of a core", limitCorePercent, "token_transfer_processor"},
		{"share holder", "traffic", "the same", transferBytes, "bytes/s", limitTraffic, "token_transfer_traffic"},
		{"member", "processor time", "heartbeats to two peers a round", corePercent(gossipCPU), "% of a core", limitCorePercent, "gossip_processor, gossip_heartbeats, token_transfer_processor"},
		{"member", "traffic", "the same", gossipBytes, "bytes/s", limitTraffic, "gossip_traffic"},
		{"member", "memory", "one entry per host", c.costAt("gossip_memory", designHosts) / 1e6, "MB", limitMemory / 1e6, "gossip_memory"},
		{"configuration relay", "processor time", "deltas between peers", corePercent(changeCPU), "% of a core", limitCorePercent, "delta_processor"},
		{"configuration relay", "traffic", "the same", changeBytes, "bytes/s", limitTraffic, "delta_size"},
		{"configuration relay", "memory of the set and eight former ones", "kept to send deltas against", configMemory / 1e6, "MB", limitMemory / 1e6, "set_memory"},
		{"all control", "processor time", "sum", corePercent(controlCPU), "% of a core", limitCorePercent, "all of the above"},
		{"all control", "memory", "sum", controlMemory / 1e6, "MB", limitMemory / 1e6, "set_memory, gossip_memory"},
		{"all control", "traffic", "sum", controlBytes, "bytes/s", limitTraffic, "all of the above"},
		{"store", "calls per second of the fleet, a waiting watch as one", "three watchers per data centre, a slow poll by the others", 2*storeWatchers + (designHosts-storeWatchers)/storePollSeconds, "calls/s", limitStoreReads, "mechanism"},
		{"store", "size of a set, in chunks of at most 900 KB", "chunks named by the head", c.costAt("set_size", objects) / 1e6, "MB", 0, "set_size"},
		{"store", "writes per second of the fleet", "head, chunks and deletions per publication", 4 * designChanges / secondsPerDay, "writes/s", 0, "mechanism"},
	}
}

// SlopeTable returns a table of the slopes in Markdown.
func SlopeTable(slopes []Slope) string {
	var b strings.Builder
	b.WriteString("| slope | cost | grows with | at 0 | per unit | standard error | sizes | measured on |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|\n")
	for _, s := range slopes {
		fmt.Fprintf(&b, "| %s | %s | %s | %.4g | %.4g | %.2g | %d | %s |\n", s.Name, s.Unit, s.Size, s.Intercept, s.PerUnit, s.StdErr, len(s.Points), s.Method)
	}
	return b.String()
}
