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
	// probePause is the pause of a caller between two requests, and
	// connectPause that between two connections of one who connects anew each
	// time; the hosts' part in a login takes about a millisecond of a core.
	probePause   = 20 * time.Millisecond
	connectPause = 100 * time.Millisecond
	// probeTimeout bounds one request or login.
	probeTimeout = time.Second
)

// A probeKind is how a caller uses a key.
type probeKind string

// The kinds of callers.
const (
	// probeBusy sends one request after another on one connection.
	probeBusy probeKind = "busy"
	// probeTransaction does so in an open transaction.
	probeTransaction probeKind = "transaction"
	// probeNew connects for each request.
	probeNew probeKind = "new"
	// probeIdle sends one request, and the next when it is told to.
	probeIdle probeKind = "idle"
)

// A keyProbe is a caller at one host. Its requests name it, so that the
// databases tell which caller they ran a statement for.
type keyProbe struct {
	host     *FleetHost
	customer string
	route    string
	kind     probeKind
	// awake is closed when an idle caller is to send its second request.
	awake chan struct{}
	log   *probeLog

	conn *pgx.Conn
}

func (p *keyProbe) name() string {
	return strings.Join([]string{p.customer, p.host.Name, p.route, string(p.kind)}, "/")
}

// A probeLog notes what the callers got.
type probeLog struct {
	mu sync.Mutex
	// ran holds when a database last began a statement of a caller, and
	// loggedIn when a login of a caller last succeeded.
	ran      map[string]time.Time
	loggedIn map[string]time.Time
}

func newProbeLog() *probeLog {
	return &probeLog{ran: map[string]time.Time{}, loggedIn: map[string]time.Time{}}
}

// record is called by the databases.
func (l *probeLog) record(run groupemulator.StatementRun) {
	_, name, ok := strings.Cut(run.Query, probeMark)
	if !ok {
		return
	}
	name, _, _ = strings.Cut(name, "'")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[name] = run.At
}

// noteLogin notes that a login of the caller succeeded now.
func (l *probeLog) noteLogin(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loggedIn[name] = time.Now()
}

// last returns when a caller was last served: a statement of it began or a
// login succeeded; zero if never.
func (l *probeLog) last(name string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loggedIn[name].After(l.ran[name]) {
		return l.loggedIn[name]
	}
	return l.ran[name]
}

// everRan reports whether a database ran a statement of the caller before.
func (l *probeLog) everRan(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ran[name].IsZero()
}

// probeMark precedes the name of the caller in each of its requests.
const probeMark = "WHERE id = 'probe "

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
		pauseFor(ctx, probePause)
	}
}

// runIdle asks once on a connection that has been idle since.
func (p *keyProbe) runIdle(ctx context.Context) {
	for ctx.Err() == nil && p.request(ctx) != nil {
		p.disconnect()
		pauseFor(ctx, connectPause)
	}
	select {
	case <-ctx.Done():
		return
	case <-p.awake:
	}
	// Whether it succeeds is seen by the databases.
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
	err := p.conn.QueryRow(ctx, "SELECT id, customer, amount FROM bookings "+probeMark+p.name()+"'", pgx.QueryExecModeSimpleProtocol).Scan(&id, nil, nil)
	if errors.Is(err, pgx.ErrNoRows) {
		return nil
	}
	return errors.WithStack(err)
}

func (p *keyProbe) connect(ctx context.Context) error {
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable",
		KeyName(p.customer), KeySecret(p.customer), p.host.CallerAddress, p.route))
	if err != nil {
		return errors.WithStack(err)
	}
	p.log.noteLogin(p.name())
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
