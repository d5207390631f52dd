package hoster

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/executor"
)

// ExplainPath is the path of queries for the routing of a request.
const ExplainPath = "/explain"

// errBadQuery reports that the parameters of a query can't be used.
var errBadQuery = errors.New("query can't be used")

// The parameters of a query.
const (
	paramDatabase     = "database"
	paramService      = "service"
	paramConsistency  = "consistency"
	paramCustomer     = "customer"
	paramWrite        = "write"
	paramMaxStaleness = "max_staleness"
	paramToken        = "token"
)

// explanationRecord is the format of an explanation.
type explanationRecord struct {
	Host        string           `json:"host"`
	Route       string           `json:"route"`
	Service     string           `json:"service"`
	Customer    string           `json:"customer"`
	Consistency string           `json:"consistency"`
	Write       bool             `json:"write"`
	Decision    string           `json:"decision"`
	Code        string           `json:"code,omitempty"`
	Reason      string           `json:"reason,omitempty"`
	ViewAgeMS   int64            `json:"view_age_ms"`
	ViewCurrent bool             `json:"view_current"`
	PoolHosts   []string         `json:"pool_hosts,omitempty"`
	LocalReason string           `json:"local_reason,omitempty"`
	Balanced    bool             `json:"balanced"`
	Floor       string           `json:"floor,omitempty"`
	Database    string           `json:"database,omitempty"`
	Connection  string           `json:"connection,omitempty"`
	Databases   []databaseRecord `json:"databases,omitempty"`
}

type databaseRecord struct {
	ID          string   `json:"id"`
	DataCentre  string   `json:"data_centre"`
	Primary     bool     `json:"primary"`
	Chosen      bool     `json:"chosen"`
	MayServe    bool     `json:"may_serve"`
	Trial       bool     `json:"trial"`
	Reasons     []string `json:"reasons,omitempty"`
	Cost        float64  `json:"cost"`
	Outstanding int      `json:"outstanding"`
	Permits     int      `json:"permits"`
	Queued      int      `json:"queued"`
}

func newExplanationRecord(e director.Explanation) explanationRecord {
	r := explanationRecord{
		Host: e.Host, Route: e.Route, Service: e.Service, Customer: e.Customer, Consistency: e.Consistency.String(), Write: e.Writes,
		Decision: string(e.Decision), Reason: e.Reason, ViewAgeMS: e.ViewAge.Milliseconds(), ViewCurrent: e.ViewCurrent,
		PoolHosts: e.PoolHosts, LocalReason: e.LocalReason, Balanced: e.Balanced, Database: e.Database, Connection: e.Connection,
	}
	if e.Code != executor.CodeNone {
		r.Code = e.Code.String()
	}
	if e.FloorKnown {
		r.Floor = e.Floor.String()
	}
	for _, d := range e.Databases {
		r.Databases = append(r.Databases, databaseRecord(d))
	}
	return r
}

// explain answers a query for the routing of a request.
func (h *Host) explain(w http.ResponseWriter, request *http.Request) {
	query, err := parseQuery(request.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	explanation, err := h.director.Explain(query)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	content, err := json.Marshal(newExplanationRecord(explanation))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A client that has gone away gets no response.
	_, _ = w.Write(append(content, '\n'))
}

func parseQuery(values url.Values) (director.Query, error) {
	q := director.Query{Database: values.Get(paramDatabase), Service: values.Get(paramService), Customer: values.Get(paramCustomer)}
	var err error
	if q.Consistency, err = parseConsistency(values.Get(paramConsistency)); err != nil {
		return q, err
	}
	if text := values.Get(paramWrite); text != "" {
		if q.Writes, err = strconv.ParseBool(text); err != nil {
			return q, errors.Wrapf(errBadQuery, "%s %q", paramWrite, text)
		}
	}
	if text := values.Get(paramMaxStaleness); text != "" {
		if q.MaxStaleness, err = time.ParseDuration(text); err != nil || q.MaxStaleness < 0 {
			return q, errors.Wrapf(errBadQuery, "%s %q", paramMaxStaleness, text)
		}
	}
	if text := values.Get(paramToken); text != "" {
		if q.Token, err = executor.ParsePosition(text); err != nil {
			return q, errors.Wrapf(errBadQuery, "%s %q", paramToken, text)
		}
	}
	return q, nil
}

func parseConsistency(name string) (cataloger.Consistency, error) {
	for _, consistency := range []cataloger.Consistency{cataloger.Primary, cataloger.BoundedStaleness, cataloger.ReadYourWrites} {
		if name == consistency.String() || name == "" {
			return consistency, nil
		}
	}
	return 0, errors.Wrapf(errBadQuery, "%s %q", paramConsistency, name)
}

// A RoutingQuery asks a host for the routing of a request. Its fields are as an operator
// writes them.
type RoutingQuery struct {
	Database, Service, Consistency, Customer string
	Write                                    bool
	MaxStaleness                             time.Duration
	Token                                    string
}

// URL returns the URL of the query to a host's HTTP address.
func (q RoutingQuery) URL(address string) string {
	values := make(url.Values)
	for name, value := range map[string]string{
		paramDatabase: q.Database, paramService: q.Service, paramConsistency: q.Consistency, paramCustomer: q.Customer, paramToken: q.Token,
	} {
		if value != "" {
			values.Set(name, value)
		}
	}
	if q.Write {
		values.Set(paramWrite, "true")
	}
	if q.MaxStaleness != 0 {
		values.Set(paramMaxStaleness, q.MaxStaleness.String())
	}
	return "http://" + address + ExplainPath + "?" + values.Encode()
}

// WriteExplanation writes the response to a query as text.
func WriteExplanation(w io.Writer, content []byte) error {
	var r explanationRecord
	if err := json.Unmarshal(content, &r); err != nil {
		return errors.Wrap(err, "decode explanation")
	}
	kind := "read"
	if r.Write {
		kind = "write"
	}
	fmt.Fprintf(w, "%s: %s of customer %s on route %s (%s) of service %s\n", r.Host, kind, r.Customer, r.Route, r.Consistency, r.Service)
	fmt.Fprintf(w, "decision: %s%s\n", r.Decision, prefixed(" ", r.Code)+prefixed(": ", r.Reason))
	fmt.Fprintf(w, "view: %d ms old, current %v\n", r.ViewAgeMS, r.ViewCurrent)
	if len(r.PoolHosts) > 0 {
		fmt.Fprintf(w, "forwarded to: %s\n", strings.Join(r.PoolHosts, ", then "))
	}
	if r.LocalReason != "" {
		fmt.Fprintf(w, "run by this host%s: %s\n", ifAny(len(r.PoolHosts), " if none of them takes it"), r.LocalReason)
	}
	if r.Database != "" {
		fmt.Fprintf(w, "database: %s, %s\n", r.Database, r.Connection)
	}
	if r.Floor != "" {
		fmt.Fprintf(w, "position that a replica must have reached: %s\n", r.Floor)
	}
	return errors.WithStack(writeDatabases(w, r))
}

func writeDatabases(w io.Writer, r explanationRecord) error {
	if len(r.Databases) == 0 {
		return nil
	}
	unit := "COST"
	if r.Balanced {
		unit = "EXPECTED MS"
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "DATABASE\tDATA CENTRE\tROLE\tCHOSEN\t%s\tOUTSTANDING\tQUEUED\tREASONS\n", unit)
	for _, d := range r.Databases {
		role, chosen, cost := "replica", "no", "-"
		if d.Primary {
			role = "primary"
		}
		if d.Chosen {
			chosen = "yes"
		}
		if d.MayServe {
			cost = strconv.FormatFloat(d.Cost, 'f', 1, 64)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d of %d\t%d\t%s\n", d.ID, d.DataCentre, role, chosen, cost, d.Outstanding, d.Permits, d.Queued, strings.Join(d.Reasons, ", "))
	}
	return table.Flush()
}

func prefixed(prefix, text string) string { return ifAny(len(text), prefix+text) }

func ifAny(count int, text string) string {
	if count == 0 {
		return ""
	}
	return text
}
