package messenger

import (
	"time"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/messenger/peerpb"
)

func attributesToWire(a executor.Attributes) *peerpb.Attributes {
	return &peerpb.Attributes{
		Service: a.Service, Customer: a.Customer, Key: a.Key, Route: a.Route,
		Revision: a.Revision, Session: []byte(a.Session), Attaching: a.FirstExchange,
	}
}

func attributesFromWire(a *peerpb.Attributes) executor.Attributes {
	return executor.Attributes{
		Service: a.GetService(), Customer: a.GetCustomer(), Key: a.GetKey(), Route: a.GetRoute(),
		Revision: a.GetRevision(), Session: string(a.GetSession()), FirstExchange: a.GetAttaching(),
	}
}

func positionToWire(p executor.Position) *peerpb.Position {
	if p.IsZero() {
		return nil
	}
	return &peerpb.Position{Term: p.Term, Offset: p.Offset}
}

func positionFromWire(p *peerpb.Position) executor.Position {
	return executor.Position{Term: p.GetTerm(), Offset: p.GetOffset()}
}

// batchToWire converts b to w, with the remaining time as its timeout.
func batchToWire(b *executor.Batch, timeout time.Duration, w *peerpb.Batch) {
	w.Reset()
	w.Class = uint32(b.Class)
	w.Idempotent = b.Idempotent
	w.Tainting = b.ChangesConnectionState
	w.Floor = positionToWire(b.Floor)
	w.MaxAgeUs = toMicroseconds(b.MaxAge)
	w.DeadlineUs = toMicroseconds(timeout)
	w.Messages = b.Messages
	for _, s := range b.Statements {
		w.Statements = append(w.Statements, &peerpb.Statement{
			Name: []byte(s.Name), Query: []byte(s.Query), ParameterOids: s.ParameterOIDs,
		})
	}
}

// batchFromWire converts w. It treats classes that this version does not recognize as
// ClassWrite, which makes no assumptions about the batch.
func batchFromWire(w *peerpb.Batch) executor.Batch {
	b := executor.Batch{
		Messages:               w.GetMessages(),
		Class:                  executor.ClassWrite,
		Idempotent:             w.GetIdempotent(),
		ChangesConnectionState: w.GetTainting(),
		Floor:                  positionFromWire(w.GetFloor()),
		MaxAge:                 fromMicroseconds(w.GetMaxAgeUs()),
		Timeout:                fromMicroseconds(w.GetDeadlineUs()),
	}
	if c := w.GetClass(); c <= uint32(executor.ClassBeginRead) {
		b.Class = executor.Class(c)
	}
	for _, s := range w.GetStatements() {
		b.Statements = append(b.Statements, executor.Statement{
			Name: string(s.GetName()), Query: string(s.GetQuery()), ParameterOIDs: s.GetParameterOids(),
		})
	}
	return b
}

func resultToWire(r executor.Result) *peerpb.Result {
	return &peerpb.Result{
		TxStatus: uint32(r.TxStatus), Position: positionToWire(r.Position), Replica: r.Replica,
	}
}

func resultFromWire(r *peerpb.Result) executor.Result {
	return executor.Result{
		TxStatus: byte(r.GetTxStatus()), Position: positionFromWire(r.GetPosition()), Replica: r.GetReplica(),
	}
}

func refusalToWire(r *executor.Refusal) *peerpb.Refusal {
	return &peerpb.Refusal{Code: []byte(r.Code), Message: []byte(r.Message), Outcome: uint32(r.Outcome), Holder: r.Holder}
}

// refusalFromWire converts r. It replaces outcomes that this version does not recognize
// by Unknown, which guarantees nothing, and codes of a wrong length by
// CodeInternal.
func refusalFromWire(r *peerpb.Refusal) *executor.Refusal {
	refusal := &executor.Refusal{Code: string(r.GetCode()), Message: string(r.GetMessage()), Holder: r.GetHolder()}
	if o := r.GetOutcome(); o <= uint32(executor.RolledBack) {
		refusal.Outcome = executor.Outcome(o)
	}
	if len(refusal.Code) != len(executor.CodeInternal) {
		refusal.Code = executor.CodeInternal
	}
	return refusal
}

// maxDuration bounds received durations, so that sums cannot overflow.
const maxDuration = 365 * 24 * time.Hour

// toMicroseconds rounds up, so that an age never gets smaller in transit.
func toMicroseconds(d time.Duration) uint64 {
	if d <= 0 {
		return 0
	}
	return uint64((d + time.Microsecond - 1) / time.Microsecond)
}

func fromMicroseconds(us uint64) time.Duration {
	if us > uint64(maxDuration/time.Microsecond) {
		return maxDuration
	}
	return time.Duration(us) * time.Microsecond
}
