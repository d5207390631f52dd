package measurer

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/groupemulator"
)

const (
	// requestPause is the pause of a client between two requests, and connectPause
	// that between two connections of a client that reconnects for each request.
	// connectPause is longer, because the hosts' share of a login takes about a
	// millisecond of a core.
	requestPause = 20 * time.Millisecond
	connectPause = 100 * time.Millisecond
	// probeTimeout bounds one request or login.
	probeTimeout = time.Second
)

// A probeKind is the way in which a client uses a key.
type probeKind string

// The kinds of clients.
const (
	// probeBusy sends one request after another on one connection.
	probeBusy probeKind = "busy"
	// probeTransaction does the same in an open transaction.
	probeTransaction probeKind = "transaction"
	// probeNew opens a new connection for each request.
	probeNew probeKind = "new"
	// probeIdle sends one request, and another one after a signal.
	probeIdle probeKind = "idle"
)

// A keyProbe is a client of one host. Its requests contain its name, which
// identifies the client when a database runs a statement.
type keyProbe struct {
	host     *FleetHost
	customer string
	route    string
	kind     probeKind
	// resume is closed to make an idle client send its second request.
	resume chan struct{}
	log    *probeLog

	conn *pgx.Conn
}

func (p *keyProbe) name() string {
	return strings.Join([]string{p.customer, p.host.Name, p.route, string(p.kind)}, "/")
}

// A probeLog records when clients were served.
type probeLog struct {
	mu sync.Mutex
	// lastStatement holds when a database last began a statement of a client, and
	// lastLogin when a login of a client last succeeded, by the client's name.
	lastStatement map[string]time.Time
	lastLogin     map[string]time.Time
}

func newProbeLog() *probeLog {
	return &probeLog{lastStatement: map[string]time.Time{}, lastLogin: map[string]time.Time{}}
}

// recordStatement records a statement of a client. The databases call it when they
// begin to run one.
func (l *probeLog) recordStatement(run groupemulator.StatementRun) {
	_, name, ok := strings.Cut(run.Query, probeMarker)
	if !ok {
		return
	}
	name, _, _ = strings.Cut(name, "'")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastStatement[name] = run.At
}

// recordLogin records that a login of the client has just succeeded.
func (l *probeLog) recordLogin(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastLogin[name] = time.Now()
}

// lastServed returns when a statement of a client last began or a login of it last
// succeeded, or the zero time if neither has happened.
func (l *probeLog) lastServed(name string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastLogin[name].After(l.lastStatement[name]) {
		return l.lastLogin[name]
	}
	return l.lastStatement[name]
}

// hasRun reports whether a database has run a statement of the client.
func (l *probeLog) hasRun(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lastStatement[name].IsZero()
}

// probeMarker precedes the name of the client in each of its requests.
const probeMarker = "WHERE id = 'probe "

// run uses the key until ctx ends.
func (p *keyProbe) run(ctx context.Context) {
	defer p.disconnect()
	if p.kind == probeIdle {
		p.runIdle(ctx)
		return
	}
	for ctx.Err() == nil {
		if err := p.request(ctx); err != nil {
			p.disconnect()
			pauseFor(ctx, connectPause)
			continue
		}
		if p.kind == probeNew {
			p.disconnect()
			pauseFor(ctx, connectPause)
			continue
		}
		pauseFor(ctx, requestPause)
	}
}

// runIdle sends one request, leaves the connection idle until resume is closed, and
// sends another request on it.
func (p *keyProbe) runIdle(ctx context.Context) {
	for ctx.Err() == nil && p.request(ctx) != nil {
		p.disconnect()
		pauseFor(ctx, connectPause)
	}
	select {
	case <-ctx.Done():
		return
	case <-p.resume:
	}
	// The databases record whether the request was served.
	_ = p.request(ctx)
}

// request sends one request, over a new connection if there is none.
func (p *keyProbe) request(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if p.conn == nil {
		if err := p.connect(ctx); err != nil {
			return err
		}
	}
	var id string
	err := p.conn.QueryRow(ctx, "SELECT id, customer, amount FROM bookings "+probeMarker+p.name()+"'", pgx.QueryExecModeSimpleProtocol).Scan(&id, nil, nil)
	if errors.Is(err, pgx.ErrNoRows) {
		return nil
	}
	return errors.WithStack(err)
}

func (p *keyProbe) connect(ctx context.Context) error {
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable",
		KeyName(p.customer), KeySecret(p.customer), p.host.ClientAddress, p.route))
	if err != nil {
		return errors.WithStack(err)
	}
	p.log.recordLogin(p.name())
	p.conn = conn
	if p.kind == probeTransaction {
		_, err = conn.Exec(ctx, "BEGIN READ ONLY")
	}
	return errors.WithStack(err)
}

func (p *keyProbe) disconnect() {
	if p.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout/10)
	defer cancel()
	_ = p.conn.Close(ctx)
	p.conn = nil
}
