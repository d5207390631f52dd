package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	service   = "rosters"
	// applyLag is how late replicas apply commits in calm.
	applyLag = 20 * time.Millisecond
)

// A commit is an entry of a service's log.
type commit struct {
	term, number uint64
	item, data   string
	received     time.Time
}

// A group is the databases of one service. Its mutex guards all of them, so that commits
// reach the other databases at once.
type group struct {
	mu        sync.Mutex
	store     *store
	record    *record
	databases []*database
	// term is the newest term.
	term uint64
	// promoteDelay is the time from an accepted promotion to its effect.
	promoteDelay time.Duration
	signatures   int
	// shapes holds, by the id of each EXECUTE, the shape that ran.
	shapes map[string]string
	// committedBy holds the database that committed a statement, by its id.
	committedBy map[string]*database
	// led is called when a database has become the primary.
	led func(d *database)
}

// A database is a stand-in of one database: a log, and statements on it.
type database struct {
	group *group
	id    string
	zone  string
	// listener is where it serves; address is what it registers, which may be that of a
	// link in front of it.
	listener net.Listener
	address  string
	primary  bool
	// leader is the database whose log a replica follows.
	leader   *database
	draining bool
	term     uint64
	log      []commit
	// lag is the time from the receipt of a commit until it is applied.
	lag   time.Duration
	seq   int64
	born  int64
	conns int
}

func (g *group) add(id, zone string, primary bool) (*database, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &database{
		group: g, id: id, zone: zone, listener: listener, address: listener.Addr().String(), primary: primary,
		term: 1, lag: applyLag, born: time.Now().UnixMilli(),
	}
	if primary {
		d.lag = 0
	}
	g.databases = append(g.databases, d)
	return d, nil
}

// start serves and registers the databases.
func (g *group) start() {
	g.term = 1
	for _, d := range g.databases {
		if !d.primary {
			d.leader = g.databases[0]
		}
	}
	for _, d := range g.databases {
		go d.serve()
		go func() {
			for {
				g.mu.Lock()
				d.register()
				g.mu.Unlock()
				time.Sleep(heartbeat)
			}
		}()
	}
}

// register writes the entry of the database. The caller holds mu.
func (d *database) register() {
	d.seq++
	state, role := "ready", "replica"
	if d.draining {
		state = "draining"
	}
	if d.primary {
		role = "primary"
	}
	value, _ := json.Marshal(map[string]any{
		"service": service, "address": d.address, "zone": d.zone, "version": "v1", "slots": 5, "state": state,
		"cold_left_ms": 0, "db_role": role, "seq": d.seq, "born": d.born,
	})
	d.group.store.put("servers/"+d.id, value)
}

// drain reports that the database leaves.
func (d *database) drain() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.draining = true
	d.register()
	d.group.record.add("%s reports draining, accepted by the store", d.id)
}

// applied returns the number of entries of the log that are applied. The caller holds mu.
func (d *database) applied() int {
	if d.primary {
		return len(d.log)
	}
	now := time.Now()
	for i, c := range d.log {
		if now.Sub(c.received) < d.lag {
			return i
		}
	}
	return len(d.log)
}

func position(term uint64, log []commit) string {
	if len(log) == 0 {
		return fmt.Sprintf("%d.0", term)
	}
	last := log[len(log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// has reports whether the log up to n entries contains a position. The caller holds mu.
func (d *database) has(term, number uint64, n int) bool {
	if number == 0 {
		return true
	}
	for _, c := range d.log[:n] {
		if c.term == term && c.number == number {
			return true
		}
	}
	return false
}

// promote serves the platform's promotions.
func (g *group) servePromotions(listener net.Listener) {
	_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request struct{ Service, ID string }
		if json.NewDecoder(r.Body).Decode(&request) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.record.add("platform is asked to promote %s by %s, fence number %s", request.ID, r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"))
		for _, d := range g.databases {
			if d.id == request.ID && !d.primary {
				time.AfterFunc(g.promoteDelay, d.lead)
			}
		}
	}))
}

// lead makes the database the primary of the next term. The former primary goes on until it
// is demoted, or for a second.
func (d *database) lead() {
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.primary {
		return
	}
	g.term++
	d.primary, d.leader, d.term = true, nil, g.term
	for _, other := range g.databases {
		switch {
		case other == d:
		case other.primary:
			time.AfterFunc(time.Second, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				other.follow("it has reached the new primary")
			})
		default:
			other.leader = d
			other.rollBack()
		}
	}
	g.record.add("PROMOTED: %s leads term %d at %s", d.id, d.term, position(d.term, d.log))
	d.register()
	if g.led != nil {
		g.led(d)
	}
}

// follow makes a former primary a replica of the newest primary. The caller holds the mutex
// of the group.
func (d *database) follow(reason string) {
	for _, other := range d.group.databases {
		if !d.primary || !other.primary || other.term <= d.term {
			continue
		}
		d.group.record.add("%s follows %s: %s", d.id, other.id, reason)
		d.primary, d.leader = false, other
		d.rollBack()
		d.register()
	}
}

// rollBack gives a replica the log of its leader.
func (d *database) rollBack() {
	d.term = d.leader.term
	kept := 0
	for kept < len(d.log) && kept < len(d.leader.log) && d.log[kept].term == d.leader.log[kept].term {
		kept++
	}
	for _, lost := range d.log[kept:] {
		d.group.record.add("%s rolls back WRITE %s %s at %d.%d", d.id, lost.item, lost.data, lost.term, lost.number)
	}
	d.log = append(d.log[:kept:kept], d.leader.log[kept:]...)
}

func (d *database) serve() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.session(conn)
	}
}

// A dbSession is a connection to a database.
type dbSession struct {
	database *database
	writer   *bufio.Writer
	customer string
	state    string
	// readOnly is set in a transaction that was begun with BEGIN READ.
	readOnly bool
	writes   []commit
	prepared map[string]string
}

func (d *database) session(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 1<<20+64)
	s := &dbSession{database: d, writer: bufio.NewWriter(conn), state: "I", prepared: make(map[string]string)}
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != service || len(fields) > 3 && fields[3] != d.id {
		fmt.Fprint(s.writer, "ERROR MISROUTED wrong name\r\n")
		_ = s.writer.Flush()
		return
	}
	s.customer = fields[2]
	time.Sleep(12 * time.Millisecond)
	d.group.mu.Lock()
	s.ready()
	d.group.mu.Unlock()
	for s.writer.Flush() == nil {
		if line, err = reader.ReadString('\n'); err != nil {
			return
		}
		parts := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if len(parts) < 3 || parts[0] != "QUERY" {
			return
		}
		if verb, _, _ := strings.Cut(parts[2], " "); verb == "READ" || verb == "WRITE" || verb == "EXECUTE" {
			time.Sleep(5 * time.Millisecond)
		}
		d.group.mu.Lock()
		s.query(parts[1], parts[2])
		d.group.mu.Unlock()
	}
}

func (s *dbSession) ready() {
	d := s.database
	fmt.Fprintf(s.writer, "READY %s %s\r\n", s.state, position(d.term, d.log[:d.applied()]))
}

func (s *dbSession) fail(code string) {
	if s.state == "T" && code != "BUSY" {
		s.state = "E"
	}
	fmt.Fprintf(s.writer, "ERROR %s %s\r\n", code, s.database.id)
	s.ready()
}

func (s *dbSession) complete(signature string) {
	fmt.Fprintf(s.writer, "COMPLETE %s\r\n", signature)
	s.ready()
}

// sign returns a signature for a statement that has run.
func (s *dbSession) sign() string {
	s.database.group.signatures++
	return fmt.Sprintf("sig-%s-%d", s.database.id, s.database.group.signatures)
}

// query runs a statement. The caller holds the mutex of the group.
func (s *dbSession) query(id, text string) {
	d := s.database
	n := d.applied()
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		at, statement, _ := strings.Cut(rest, " ")
		text = statement
		term, number, _ := strings.Cut(at, ".")
		t, _ := strconv.ParseUint(term, 10, 64)
		num, _ := strconv.ParseUint(number, 10, 64)
		if !d.has(t, num, n) {
			s.fail("LAGGING")
			return
		}
	}
	verb, rest, _ := strings.Cut(text, " ")
	ownWrite := verb == "WRITE"
	if verb == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			s.fail("NOSTMT")
			return
		}
		kind, form, _ := strings.Cut(shape, " ")
		ownWrite = kind == "WRITE"
		verb, rest = kind, arguments
		if d.group.shapes == nil {
			d.group.shapes = make(map[string]string)
		}
		d.group.shapes[id] = form
		d.group.record.add("%s runs %s for %s: EXECUTE %s %s, prepared on this connection as %s", d.id, id, s.customer, name, arguments, form)
	}
	switch verb {
	case "BEGIN":
		if rest != "READ" && !d.primary {
			s.fail("READONLY")
			return
		}
		s.state, s.readOnly, s.writes = "T", rest == "READ", nil
		s.complete("-")
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		s.complete("-")
	case "COMMIT":
		if len(s.writes) > 0 && !d.primary {
			s.fail("READONLY")
			return
		}
		signature := s.sign()
		s.state = "I"
		for _, w := range s.writes {
			d.append(w, id)
		}
		s.writes = nil
		s.complete(signature)
	case "READ":
		if s.state == "T" && !s.readOnly && !d.primary {
			s.fail("READONLY")
			return
		}
		s.read(id, rest, n)
	case "WRITE":
		if ownWrite && (!d.primary || s.readOnly && s.state == "T") {
			s.fail("READONLY")
			return
		}
		name, data, _ := strings.Cut(rest, " ")
		w := commit{item: name, data: data}
		if s.state == "T" {
			s.writes = append(s.writes, w)
		} else {
			d.append(w, id)
		}
		s.complete(s.sign())
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		s.complete("-")
	case "SET":
		s.complete("-")
	case "DISCARD":
		s.prepared = make(map[string]string)
		s.complete("-")
	case "STATUS", "DEMOTE":
		if term, _ := strconv.ParseUint(rest, 10, 64); verb == "DEMOTE" && d.primary && d.term < term {
			d.follow("it is demoted")
		}
		role := "replica"
		if d.primary {
			role = "primary"
		}
		fmt.Fprintf(s.writer, "DATAROW %s %d %s 0 %d 1 5\r\n", role, d.term, position(d.term, d.log), d.lag.Milliseconds())
		s.complete("-")
	default:
		s.fail("MALFORMED")
	}
}

// append commits a write on the primary and replicates it.
func (d *database) append(w commit, id string) {
	w.term, w.number, w.received = d.term, uint64(len(d.log)+1), time.Now()
	d.log = append(d.log, w)
	if d.group.committedBy == nil {
		d.group.committedBy = make(map[string]*database)
	}
	d.group.committedBy[id] = d
	for _, other := range d.group.databases {
		if other.leader == d {
			other.log = append(other.log, w)
		}
	}
	d.group.record.add("%s commits %s: WRITE %s %s at %d.%d", d.id, id, w.item, w.data, w.term, w.number)
}

// read answers with the last applied value of an item.
func (s *dbSession) read(id, name string, applied int) {
	name, _, _ = strings.Cut(name, " ")
	value := "none"
	for _, c := range s.database.log[:applied] {
		if c.item == name {
			value = c.data
		}
	}
	d := s.database
	d.group.record.add("%s runs %s: READ %s on a log up to %s (received up to %s) = %s", d.id, id, name, position(d.term, d.log[:applied]), position(d.term, d.log), value)
	fmt.Fprintf(s.writer, "DATAROW %s\r\n", value)
	s.complete(s.sign())
}
