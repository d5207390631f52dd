package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An entry is a commit in the log of a database.
type entry struct {
	// id is the id of the write, or of the COMMIT.
	id      string
	items   map[string]string
	applied time.Time
}

// A group is a service: its databases and the term of its present primary. mu guards the
// state of all of them.
type group struct {
	w    *world
	name string

	mu        sync.Mutex
	databases []*database
	term      int
	// lag is how much later replicas apply a commit than they receive it.
	lag time.Duration
}

// A database is a stand-in of one database of a service.
type database struct {
	group   *group
	id      string
	address string
	zone    string

	// The fields below are guarded by the mutex of the group.
	listener net.Listener
	conns    map[net.Conn]bool
	primary  bool
	// term is that of the log, 0 if the database knows nothing.
	term int
	log  []entry
	born int64
	seq  int64
	// cut is set while the database does not reach the store.
	cut bool
}

const (
	workTime      = 3 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
	promoteDelay  = 300 * time.Millisecond
	followDelay   = time.Second
	missedReports = 3
)

func newGroup(w *world, name string, zones []string) *group {
	g := &group{w: w, name: name, term: 1, lag: 20 * time.Millisecond}
	for i, zone := range zones {
		d := &database{group: g, id: fmt.Sprintf("i-%s-%d", name, i), zone: zone, primary: i == 0, term: 1, conns: map[net.Conn]bool{}}
		d.start(listenLoopback())
		g.databases = append(g.databases, d)
		go d.reportLoop()
	}
	return g
}

// start serves the database on a listener, as a new process.
func (d *database) start(listener net.Listener) {
	d.group.mu.Lock()
	d.listener, d.address = listener, listener.Addr().String()
	d.born, d.seq = time.Now().UnixMilli(), 0
	d.group.mu.Unlock()
	d.report()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			d.group.mu.Lock()
			d.conns[conn] = true
			d.group.mu.Unlock()
			go d.serve(conn)
		}
	}()
}

// crash ends the process of the database: its connections are reset and its port is closed.
func (d *database) crash() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.listener.Close()
	for conn := range d.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
	d.conns = map[net.Conn]bool{}
}

// forget makes the database hold and know nothing of before.
func (d *database) forget() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.primary, d.term, d.log = false, 0, nil
}

// restart starts the database again at its address.
func (d *database) restart() {
	for {
		listener, err := net.Listen("tcp", d.address)
		if err == nil {
			d.start(listener)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (d *database) setCut(cut bool) {
	d.group.mu.Lock()
	d.cut = cut
	d.group.mu.Unlock()
	d.report()
}

func (d *database) reportLoop() {
	for range time.Tick(heartbeat) {
		d.report()
	}
}

// report writes the entry of the database into the store.
func (d *database) report() {
	g := d.group
	g.mu.Lock()
	if d.cut {
		g.mu.Unlock()
		return
	}
	d.seq++
	role := "replica"
	if d.primary {
		role = "primary"
	}
	value := map[string]any{
		"service": g.name, "address": d.address, "zone": d.zone, "version": "v1", "slots": 5, "state": "ready",
		"cold_left_ms": 0, "db_role": role, "seq": d.seq, "born": d.born,
	}
	g.mu.Unlock()
	if g.w.store.mode("") == "" {
		g.w.store.put("servers/"+d.id, value)
		g.w.lastReport.Store(d.id, time.Now())
	}
}

// expireEntries removes the entries of databases after three intervals of silence.
func (w *world) expireEntries() {
	for range time.Tick(100 * time.Millisecond) {
		if w.store.mode("") != "" {
			continue
		}
		w.lastReport.Range(func(id, at any) bool {
			if time.Since(at.(time.Time)) > missedReports*heartbeat {
				w.store.remove("servers/" + id.(string))
			}
			return true
		})
	}
}

// applied returns how many entries of the log have been applied. The caller holds mu.
func (d *database) appliedCount() int {
	n := len(d.log)
	for n > 0 && time.Now().Before(d.log[n-1].applied) {
		n--
	}
	return n
}

// position returns the position of the applied log. The caller holds mu.
func (d *database) position() string {
	if d.term == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", d.term, d.appliedCount())
}

// contains reports whether the applied log has a position. The caller holds mu.
func (d *database) contains(position string) bool {
	termText, numberText, _ := strings.Cut(position, ".")
	term, _ := strconv.Atoi(termText)
	number, _ := strconv.Atoi(numberText)
	return d.term > term || d.term == term && d.appliedCount() >= number
}

// commit appends a commit to the log of the primary and sends it to the replicas. The caller
// holds mu.
func (g *group) commit(d *database, id string, items map[string]string) {
	now := time.Now()
	d.log = append(d.log, entry{id: id, items: items, applied: now})
	for _, other := range g.databases {
		if other != d && !other.primary && other.term == d.term && len(other.log) == len(d.log)-1 {
			other.log = append(other.log, entry{id: id, items: items, applied: now.Add(g.lag)})
		}
	}
}

// promote makes a database the primary of the next term, as POST /promote does.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.databases {
		if d.id != id {
			continue
		}
		if d.primary && d.term == g.term {
			return true
		}
		time.AfterFunc(promoteDelay, func() { g.takeOver(d) })
		return true
	}
	return false
}

func (g *group) takeOver(d *database) {
	g.mu.Lock()
	if d.primary && d.term == g.term {
		g.mu.Unlock()
		return
	}
	g.term++
	d.primary, d.term = true, g.term
	now := time.Now()
	for i := range d.log {
		d.log[i].applied = now
	}
	kept := make(map[string]bool)
	for _, e := range d.log {
		kept[e.id] = true
	}
	term := g.term
	g.w.rollBack(g.name, kept)
	g.w.event("database %s leads %s in term %d with %d commits", d.id, g.name, term, len(d.log))
	for _, other := range g.databases {
		if other != d && !other.primary {
			other.follow(d)
		}
	}
	g.mu.Unlock()
	d.report()
	time.AfterFunc(followDelay, func() {
		g.mu.Lock()
		for _, other := range g.databases {
			if other != d && other.term < term {
				other.primary = false
				other.follow(d)
			}
		}
		g.mu.Unlock()
	})
}

// follow makes the database a replica of the primary, with its log. The caller holds mu.
func (d *database) follow(primary *database) {
	d.primary, d.term = false, primary.term
	d.log = append([]entry(nil), primary.log...)
}

// A dbSession is a connection to a database.
type dbSession struct {
	d        *database
	state    byte
	readOnly bool
	writes   map[string]string
	prepared map[string][2]string
}

func (d *database) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		d.group.mu.Lock()
		delete(d.conns, conn)
		d.group.mu.Unlock()
	}()
	reader, writer := bufio.NewReader(conn), bufio.NewWriter(conn)
	line, err := readLine(reader)
	fields := strings.Split(line, " ")
	if err != nil || len(fields) < 3 || fields[0] != "STARTUP" {
		return
	}
	if fields[1] != d.group.name || len(fields) > 3 && fields[3] != d.id {
		fmt.Fprintf(writer, "ERROR MISROUTED %s\r\n", d.id)
		writer.Flush()
		return
	}
	d.group.mu.Lock()
	fmt.Fprintf(writer, "READY I %s\r\n", d.position())
	d.group.mu.Unlock()
	s := &dbSession{d: d, state: 'I', prepared: map[string][2]string{}}
	for writer.Flush() == nil {
		line, err := readLine(reader)
		if err != nil {
			return
		}
		kind, rest, _ := strings.Cut(line, " ")
		if kind != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		rows, code := s.run(id, text)
		d.group.mu.Lock()
		position := d.position()
		d.group.mu.Unlock()
		for _, row := range rows {
			fmt.Fprintf(writer, "DATAROW %s\r\n", row)
		}
		if code == "" {
			signature := "-"
			if id != "-" {
				signature = "sig-" + id
			}
			fmt.Fprintf(writer, "COMPLETE %s\r\n", signature)
		} else {
			fmt.Fprintf(writer, "ERROR %s %s\r\n", code, d.id)
		}
		fmt.Fprintf(writer, "READY %c %s\r\n", s.state, position)
	}
}

// fail returns an error, which fails an open transaction.
func (s *dbSession) fail(code string) ([]string, string) {
	if s.state == 'T' {
		s.state = 'E'
	}
	return nil, code
}

// run runs a statement and returns its rows, or the code of an error.
func (s *dbSession) run(id, text string) ([]string, string) {
	d, g := s.d, s.d.group
	after := ""
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, text, _ = strings.Cut(rest, " ")
	}
	verb, arguments, _ := strings.Cut(text, " ")
	if s.state == 'E' && verb != "ROLLBACK" && verb != "COMMIT" {
		return nil, "MALFORMED"
	}
	if verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "COMMIT" {
		time.Sleep(workTime)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if after != "" && !d.contains(after) {
		return s.fail("LAGGING")
	}
	if verb == "EXECUTE" {
		name, rest, _ := strings.Cut(arguments, " ")
		p, ok := s.prepared[name]
		if !ok {
			return s.fail("NOSTMT")
		}
		verb, arguments = p[0], rest
	}
	switch verb {
	case "BEGIN":
		s.readOnly = arguments == "READ"
		if !s.readOnly && !d.primary {
			return nil, "READONLY"
		}
		s.state, s.writes = 'T', map[string]string{}
	case "READ":
		if s.state == 'T' && !s.readOnly && !d.primary {
			return s.fail("READONLY")
		}
		return s.read(id, arguments), ""
	case "WRITE":
		name, data, _ := strings.Cut(arguments, " ")
		if !d.primary || s.readOnly && s.state == 'T' {
			return s.fail("READONLY")
		}
		if s.state == 'T' {
			s.writes[name] = data
			break
		}
		g.w.ran(id, d, "WRITE")
		g.commit(d, id, map[string]string{name: data})
	case "COMMIT":
		wasOpen := s.state == 'T'
		s.state = 'I'
		if !wasOpen {
			return nil, "ABORTED"
		}
		if len(s.writes) > 0 {
			if !d.primary {
				return nil, "READONLY"
			}
			g.w.ran(id, d, "COMMIT")
			g.commit(d, id, s.writes)
		}
	case "ROLLBACK":
		s.state = 'I'
	case "SET":
	case "DISCARD":
		s.prepared = map[string][2]string{}
	case "PREPARE":
		name, rest, _ := strings.Cut(arguments, " ")
		kind, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = [2]string{kind, shape}
	case "DEALLOC":
		delete(s.prepared, arguments)
	case "STATUS", "DEMOTE":
		if verb == "DEMOTE" {
			if term, _ := strconv.Atoi(arguments); d.primary && d.term < term {
				d.primary = false
				for _, other := range g.databases {
					if other.primary && other.term == g.term {
						d.follow(other)
					}
				}
			}
		}
		role := "replica"
		if d.primary {
			role = "primary"
		}
		received := "-"
		if d.term > 0 {
			received = fmt.Sprintf("%d.%d", d.term, len(d.log))
		}
		return []string{fmt.Sprintf("%s %d %s 0 0 1 %d", role, d.term, received, len(d.conns))}, ""
	default:
		return nil, "MALFORMED"
	}
	return nil, ""
}

// read returns the data of an item. The caller holds mu.
func (s *dbSession) read(id, name string) []string {
	d := s.d
	n := d.appliedCount()
	d.group.w.readRan(id, d, d.log[:n])
	if data, ok := s.writes[name]; ok && s.state == 'T' {
		return []string{data}
	}
	for i := n - 1; i >= 0; i-- {
		if data, ok := d.log[i].items[name]; ok {
			return []string{data}
		}
	}
	return nil
}

func readLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}
