package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// replicationDelay is how long a commit travels to a replica.
	replicationDelay = time.Millisecond
	// handshakeTime is how long a new connection occupies a slot.
	handshakeTime = 12 * time.Millisecond
	// statusTime is how long STATUS occupies a slot, and statusWait how long it waits for
	// one before it is answered with BUSY.
	statusTime = 500 * time.Microsecond
	statusWait = 20 * time.Millisecond
	// heartbeat is how often a database writes its entry.
	heartbeat = 1200 * time.Millisecond
)

// A position is TERM.NUMBER of a log.
type position struct{ term, number int64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func parsePosition(text string) (position, bool) {
	term, number, ok := strings.Cut(text, ".")
	t, err1 := strconv.ParseInt(term, 10, 64)
	n, err2 := strconv.ParseInt(number, 10, 64)
	return position{t, n}, ok && err1 == nil && err2 == nil
}

// An entry is one commit of a log.
type entry struct {
	position position
	// writes maps items to data.
	writes map[string]string
	// ids are the ids of the statements that wrote.
	ids []string
	at  time.Time
}

// A run is one statement that a database ran.
type run struct {
	at       time.Time
	database string
	id, text string
	tenant   string
	role     string
	position position
	// row is the row that a read returned.
	row string
}

// A group is a service: one primary and its replicas.
type group struct {
	service     string
	slots       int
	maxConns    int
	lag         time.Duration
	work        func() time.Duration
	promoteTime time.Duration
	// readWork, if set, replaces work for reads.
	readWork func() time.Duration
	// sync is set if a commit is acknowledged once one replica has received it.
	sync   bool
	store  *store
	record *record

	mu        sync.Mutex
	databases []*database
	term      int64
	// runs are all statements run, commits all commits in order of their time.
	runs    []run
	commits []commit
	// promotedAt holds when promotions took effect.
	promotions []promotion
}

// A commit is a commit of a database.
type commit struct {
	database string
	entry    entry
	// after is set if a promotion of another database had taken effect.
	after bool
}

type promotion struct {
	at       time.Time
	database string
	term     int64
	kept     int64
}

// A database is a stand-in of one database of a group. Its fields are guarded by the
// mutex of the group.
type database struct {
	group   *group
	id      string
	zone    string
	address string
	born    int64

	primary   bool
	term      int64
	log       []entry
	applied   int
	appliesAt []time.Time
	draining  bool
	seq       int
	conns     int
	slot      chan struct{}
	busy      int
	listener  net.Listener
	open      map[net.Conn]bool
	stopped   bool
	// deaf is set while the database receives nothing.
	deaf bool
}

func newGroup(service string, s *store, rec *record) *group {
	return &group{
		service: service, slots: 5, maxConns: 33, lag: 60 * time.Millisecond, promoteTime: time.Second, store: s, record: rec, term: 3,
		work: func() time.Duration {
			return 2*time.Millisecond + time.Duration(rand.ExpFloat64()*float64(6*time.Millisecond))
		},
	}
}

// add starts a database.
func (g *group) add(id, zone string, primary bool) (*database, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &database{
		group: g, id: id, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), primary: primary, term: g.term,
		slot: make(chan struct{}, g.slots), listener: listener, open: make(map[net.Conn]bool),
	}
	first := entry{position: position{g.term, 1000}, writes: map[string]string{}}
	d.log, d.appliesAt, d.applied = []entry{first}, []time.Time{time.Now()}, 1
	g.mu.Lock()
	g.databases = append(g.databases, d)
	g.mu.Unlock()
	go d.accept()
	go func() {
		for range time.Tick(heartbeat) {
			if !d.announce() {
				return
			}
		}
	}()
	d.announce()
	return d, nil
}

// announce writes the entry of the database and reports whether it still runs.
func (d *database) announce() bool {
	g := d.group
	g.mu.Lock()
	stopped := d.stopped
	d.seq++
	state, role := "ready", "replica"
	if d.draining {
		state = "draining"
	}
	if d.primary {
		role = "primary"
	}
	value := map[string]any{
		"service": g.service, "address": d.address, "zone": d.zone, "version": "v1", "slots": g.slots, "state": state,
		"cold_left_ms": 0, "db_role": role, "seq": d.seq, "born": d.born,
	}
	g.mu.Unlock()
	if !stopped {
		g.store.put("servers/"+d.id, value)
	}
	return !stopped
}

// drain makes the database report that it is draining.
func (d *database) drain() {
	d.group.mu.Lock()
	d.draining = true
	d.group.mu.Unlock()
	d.announce()
}

// stop ends the database, as a crash or the end of a drain.
func (d *database) stop(leaves bool) {
	g := d.group
	g.mu.Lock()
	d.stopped = true
	d.listener.Close()
	for conn := range d.open {
		conn.Close()
	}
	g.mu.Unlock()
	if leaves {
		g.store.del("servers/" + d.id)
	}
}

// advance applies the log entries whose time has come. The caller holds mu.
func (d *database) advance() {
	now := time.Now()
	for d.applied < len(d.log) && (d.primary || !now.Before(d.appliesAt[d.applied])) {
		d.applied++
	}
}

func (d *database) at() position {
	d.advance()
	return d.log[d.applied-1].position
}

func (d *database) received() position { return d.log[len(d.log)-1].position }

// has reports whether the applied log contains a position. The caller holds mu.
func (d *database) has(p position) bool {
	d.advance()
	first := d.log[0].position.number
	i := p.number - first
	if i < 0 {
		return true
	}
	return i < int64(d.applied) && d.log[i].position.term == p.term
}

// value returns the data of an item in the applied log. The caller holds mu.
func (d *database) value(name string) string {
	d.advance()
	for i := d.applied - 1; i >= 0; i-- {
		if data, ok := d.log[i].writes[name]; ok {
			return data
		}
	}
	return "none"
}

// commit appends a commit to the log of a primary. The caller holds mu.
func (d *database) commit(writes map[string]string, ids []string) entry {
	g := d.group
	e := entry{position: position{d.term, d.received().number + 1}, writes: writes, ids: ids, at: time.Now()}
	d.log = append(d.log, e)
	d.appliesAt = append(d.appliesAt, e.at)
	d.applied = len(d.log)
	g.commits = append(g.commits, commit{database: d.id, entry: e, after: d.term < g.term})
	g.replicate(d, e)
	return e
}

// awaitReplica waits until a replica has received a commit of a primary.
func (g *group) awaitReplica(from *database, p position) {
	received := func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, d := range g.databases {
			if d != from && !d.stopped && d.received().term == p.term && d.received().number >= p.number {
				return true
			}
		}
		return false
	}
	for !received() {
		time.Sleep(time.Millisecond)
	}
}

// replicate sends an entry to the replicas that follow the database. The caller holds mu.
func (g *group) replicate(from *database, e entry) {
	for _, r := range g.databases {
		if r == from || r.primary || r.stopped {
			continue
		}
		time.AfterFunc(replicationDelay, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if r.primary || r.stopped || from.stopped || e.position.term < g.term {
				return
			}
			r.follow(from)
		})
	}
}

// follow makes the log of a replica that of its primary. The caller holds mu.
func (d *database) follow(from *database) {
	common := 0
	for common < len(d.log) && common < len(from.log) && d.log[common].position == from.log[common].position {
		common++
	}
	if d.deaf {
		return
	}
	now := time.Now()
	if common < len(d.log) {
		d.log, d.appliesAt = d.log[:common], d.appliesAt[:common]
		d.applied = min(d.applied, common)
	}
	for _, e := range from.log[common:] {
		d.log = append(d.log, e)
		d.appliesAt = append(d.appliesAt, now.Add(d.group.lag))
	}
	d.term = max(d.term, from.term)
}

// promote makes a database the primary of the next term after promoteTime.
func (g *group) promote(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var target *database
	for _, d := range g.databases {
		if d.id == id {
			target = d
		}
	}
	if target == nil || target.stopped {
		return http.StatusConflict
	}
	if target.primary && target.term == g.term {
		return http.StatusOK
	}
	time.AfterFunc(g.promoteTime, func() { g.takeOver(target) })
	return http.StatusOK
}

func (g *group) takeOver(target *database) {
	g.mu.Lock()
	if target.stopped || target.primary && target.term == g.term {
		g.mu.Unlock()
		return
	}
	g.term++
	target.primary, target.term = true, g.term
	target.applied = len(target.log)
	g.promotions = append(g.promotions, promotion{at: time.Now(), database: target.id, term: g.term, kept: target.received().number})
	g.record.add("databases", "%s leads term %d from %s on", target.id, g.term, target.received())
	var followers []*database
	for _, d := range g.databases {
		if d != target && !d.primary && !d.stopped {
			d.follow(target)
		}
		if d != target && d.primary {
			followers = append(followers, d)
		}
	}
	g.mu.Unlock()
	target.announce()
	for _, d := range followers {
		time.AfterFunc(time.Second, func() { d.demote(target.term) })
	}
}

// demote makes a primary of a lower term a replica.
func (d *database) demote(term int64) {
	g := d.group
	g.mu.Lock()
	if !d.primary || d.term >= term {
		g.mu.Unlock()
		return
	}
	d.primary = false
	for _, p := range g.databases {
		if p.primary && p.term == g.term && !p.stopped {
			d.follow(p)
		}
	}
	g.record.add("databases", "%s is a replica", d.id)
	g.mu.Unlock()
	d.announce()
}

func (d *database) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(conn)
	}
}

// A dbSession is one connection to a database.
type dbSession struct {
	database *database
	conn     net.Conn
	writer   *bufio.Writer
	tenant   string
	values   map[string]string
	prepared map[string]string
	inTx     bool
	failed   bool
	readOnly bool
	wrote    bool
	term     int64
	writes   map[string]string
	ids      []string
}

func (d *database) serve(conn net.Conn) {
	g := d.group
	defer conn.Close()
	g.mu.Lock()
	if d.stopped {
		g.mu.Unlock()
		return
	}
	d.conns++
	d.open[conn] = true
	full := d.conns > g.maxConns
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		d.conns--
		delete(d.open, conn)
		g.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(conn, 64<<10)
	s := &dbSession{database: d, conn: conn, writer: bufio.NewWriter(conn), values: map[string]string{}, prepared: map[string]string{}}
	line, ok := readLine(reader)
	fields := strings.Split(line, " ")
	if !ok || fields[0] != "STARTUP" || len(fields) < 3 {
		return
	}
	if full {
		fmt.Fprintf(conn, "ERROR TOOMANY %s\r\n", d.id)
		return
	}
	if fields[1] != g.service || len(fields) > 3 && fields[3] != d.id {
		fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", d.id)
		return
	}
	s.tenant = fields[2]
	d.slot <- struct{}{}
	time.Sleep(handshakeTime)
	<-d.slot
	g.mu.Lock()
	at := d.at()
	g.mu.Unlock()
	fmt.Fprintf(conn, "READY I %s\r\n", at)
	for {
		line, ok := readLine(reader)
		if !ok {
			return
		}
		kind, rest, _ := strings.Cut(line, " ")
		if kind != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		s.query(id, text)
		if s.writer.Flush() != nil {
			return
		}
	}
}

// readLine reads a message, which ends with CR LF.
func readLine(r *bufio.Reader) (string, bool) {
	var line []byte
	for {
		piece, err := r.ReadSlice('\n')
		line = append(line, piece...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return "", false
		}
		if strings.HasSuffix(string(line), "\r\n") {
			return string(line[:len(line)-2]), true
		}
	}
}

func (s *dbSession) ready() {
	state := "I"
	switch {
	case s.inTx && s.failed:
		state = "E"
	case s.inTx:
		state = "T"
	}
	g := s.database.group
	g.mu.Lock()
	at := s.database.at()
	g.mu.Unlock()
	fmt.Fprintf(s.writer, "READY %s %s\r\n", state, at)
}

func (s *dbSession) fail(code string) {
	if s.inTx && code != "BUSY" {
		s.failed = true
	}
	fmt.Fprintf(s.writer, "ERROR %s %s\r\n", code, s.database.id)
	s.ready()
}

func (s *dbSession) complete(signature string) {
	fmt.Fprintf(s.writer, "COMPLETE %s\r\n", signature)
	s.ready()
}

func (s *dbSession) endTx() {
	s.inTx, s.failed, s.readOnly, s.wrote, s.writes, s.ids = false, false, false, false, nil, nil
}

// signature returns the signature of a database for a statement and its rows.
func signature(database, id, text string, rows ...string) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s|%s|%s|%s", database, id, text, strings.Join(rows, "|"))
	return fmt.Sprintf("%s.%x", database, h.Sum64())
}

func (s *dbSession) query(id, text string) {
	d, g := s.database, s.database.group
	floor, hasFloor := position{}, false
	statement := text
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		p, after, _ := strings.Cut(rest, " ")
		floor, hasFloor = parsePosition(p)
		statement = after
	}
	verb, rest, _ := strings.Cut(statement, " ")
	if s.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		s.fail("MALFORMED")
		return
	}
	switch verb {
	case "STATUS":
		// It occupies a slot for a moment, and waits for one only shortly.
		select {
		case d.slot <- struct{}{}:
			time.Sleep(statusTime)
			<-d.slot
		case <-time.After(statusWait):
			s.fail("BUSY")
			return
		}
		g.mu.Lock()
		role := "replica"
		if d.primary {
			role = "primary"
		}
		row := fmt.Sprintf("%s %d %s 0 %d %d %d", role, d.term, d.received(), g.lag.Milliseconds(), d.busy, d.conns)
		g.mu.Unlock()
		fmt.Fprintf(s.writer, "DATAROW %s\r\n", row)
		s.complete("-")
	case "DEMOTE":
		term, _ := strconv.ParseInt(rest, 10, 64)
		d.demote(term)
		fmt.Fprintf(s.writer, "DATAROW replica %d %s 0 0 0 0\r\n", d.term, d.received())
		s.complete("-")
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		s.complete("-")
	case "DISCARD":
		s.values, s.prepared = map[string]string{}, map[string]string{}
		s.complete("-")
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		s.complete("-")
	case "DEALLOC":
		delete(s.prepared, rest)
		s.complete("-")
	case "BEGIN":
		g.mu.Lock()
		lagging, replica, term := hasFloor && !d.has(floor), !d.primary, d.term
		g.mu.Unlock()
		if lagging {
			s.fail("LAGGING")
			return
		}
		if replica && rest != "READ" {
			s.fail("READONLY")
			return
		}
		s.inTx, s.readOnly, s.term = true, rest == "READ", term
		s.complete("-")
	case "ROLLBACK":
		s.endTx()
		s.complete("-")
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		s.work(id, statement, verb, rest, floor, hasFloor)
	default:
		s.fail("MALFORMED")
	}
}

// work runs a statement that occupies a slot.
func (s *dbSession) work(id, statement, verb, rest string, floor position, hasFloor bool) {
	d, g := s.database, s.database.group
	g.mu.Lock()
	if d.busy >= g.slots+40 {
		g.mu.Unlock()
		s.fail("BUSY")
		return
	}
	d.busy++
	g.mu.Unlock()
	work := g.work
	if verb == "READ" && g.readWork != nil {
		work = g.readWork
	}
	d.slot <- struct{}{}
	time.Sleep(work())
	<-d.slot
	g.mu.Lock()
	d.busy--
	writes, name, data := verb == "WRITE", "", ""
	switch verb {
	case "READ":
		name = rest
	case "WRITE":
		name, data, _ = strings.Cut(rest, " ")
	case "EXECUTE":
		prepared, arguments, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[prepared]
		if !ok {
			g.mu.Unlock()
			s.fail("NOSTMT")
			return
		}
		writes = strings.HasPrefix(shape, "WRITE ")
		name, data, _ = strings.Cut(arguments, " ")
	}
	r := run{at: time.Now(), database: d.id, id: id, text: statement, tenant: s.tenant, role: "replica"}
	if d.primary {
		r.role = "primary"
	}
	lostLead := s.inTx && !s.readOnly && (!d.primary || d.term != s.term)
	switch {
	case verb == "COMMIT":
		switch {
		case !s.inTx:
			g.mu.Unlock()
			s.fail("MALFORMED")
			return
		case s.failed, lostLead && len(s.writes) > 0:
			failed := s.failed
			s.endTx()
			g.mu.Unlock()
			if failed {
				s.fail("ABORTED")
			} else {
				s.fail("READONLY")
			}
			return
		}
		if len(s.writes) > 0 {
			d.commit(s.writes, s.ids)
		}
		s.endTx()
	case hasFloor && !d.has(floor):
		g.mu.Unlock()
		s.fail("LAGGING")
		return
	case lostLead || writes && (!d.primary || s.readOnly):
		g.mu.Unlock()
		s.fail("READONLY")
		return
	case writes && s.inTx:
		if s.writes == nil {
			s.writes = map[string]string{}
		}
		s.writes[name] = data
		s.ids = append(s.ids, id)
	case writes:
		d.commit(map[string]string{name: data}, []string{id})
	default:
		r.row = d.value(name)
		if own, ok := s.writes[name]; ok {
			r.row = own
		}
	}
	r.position = d.at()
	g.runs = append(g.runs, r)
	g.mu.Unlock()
	if g.sync && (verb == "COMMIT" || writes && !s.inTx) {
		g.awaitReplica(d, r.position)
	}
	if r.row != "" {
		for row := range strings.SplitSeq(r.row, "\n") {
			fmt.Fprintf(s.writer, "DATAROW %s\r\n", row)
		}
		s.complete(signature(d.id, id, statement, r.row))
		return
	}
	s.complete(signature(d.id, id, statement))
}

// A promoter is a stand-in of the platform's service for promotions.
type promoter struct {
	address string
	groups  map[string]*group
	record  *record

	mu    sync.Mutex
	calls []promoteCall
}

type promoteCall struct {
	at     time.Time
	holder string
	token  int64
	id     string
	status int
}

func (p *promoter) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		token, _ := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
		call := promoteCall{at: time.Now(), holder: r.Header.Get("Duty-Holder"), token: token, id: body.ID, status: http.StatusConflict}
		if g := p.groups[body.Service]; g != nil {
			call.status = g.promote(body.ID)
		}
		p.record.add("promotion", "POST /promote %s %s Duty-Holder %s Fencing-Token %d -> %d", body.Service, body.ID, call.holder, token, call.status)
		p.mu.Lock()
		p.calls = append(p.calls, call)
		p.mu.Unlock()
		w.WriteHeader(call.status)
	})
	go func() { _ = http.Serve(listener, mux) }()
	return nil
}
