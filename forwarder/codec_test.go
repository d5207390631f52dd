package forwarder

import (
	"reflect"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
)

// fullRequest is a request with all fields.
func fullRequest() *Request {
	return &Request{
		Operation: &Operation{
			Customer: "cust031",
			Route: cataloger.Route{
				Name: "orders-own", Service: "orders", Consistency: cataloger.ReadYourWrites, StatementTimeout: 800 * time.Millisecond,
				TargetLatency: 250 * time.Millisecond, MaxStaleness: 1500 * time.Millisecond, Priority: 1,
			},
			Elapsed: 180 * time.Microsecond, Begin: executor.VerbBeginRead, Floor: executor.Position{Term: 3, Offset: 123456}, Tried: []string{"d1", "d2"},
		},
		Variables: connector.NewVariables([]connector.Variable{{Name: "zone", Value: "utc"}, {Name: "empty"}}),
		Prepared:  &Prepared{Name: "r1x", Text: "READ a", Writes: true},
		Statement: executor.Request{ID: "q-1837465", Verb: executor.VerbExecute, Name: "r1x", Arguments: "a b"},
		number:    77, sentAt: 3600 * time.Second, validFor: 1100 * time.Millisecond,
	}
}

// TestCodec guards against fields that are lost between hosts.
func TestCodec(t *testing.T) {
	large := &Request{Statement: executor.Request{ID: "1", Verb: executor.VerbRead}, Operation: &Operation{Tried: make([]string, 0, 40)}}
	for range 40 {
		large.Operation.Tried = append(large.Operation.Tried, "a database with a long name")
	}
	for _, want := range []*Request{{}, fullRequest(), {Statement: executor.Request{ID: "1", Verb: executor.VerbCommit}, number: 2}, large} {
		got := new(Request)
		if err := parseRequest(appendRequest(nil, want), got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("request: got %+v, %v, want %+v", got, err, want)
		}
	}
	for _, want := range []*Reply{
		{Reason: answeredReason},
		{
			Response: executor.Response{
				Rows: []byte("DATAROW a=1\r\n"), Signature: "sig", Code: executor.CodeBusy, Text: "busy", State: executor.StateIdle,
				Position: executor.Position{Term: 3, Offset: 9},
			},
			Refused: true, Stopping: true, MayHaveRun: true, FromPrimary: true, Database: "d1", Reason: "timeout", Attempts: 2,
			AssignmentRevision: 1 << 50, number: 5, heartbeat: true, more: true,
		},
	} {
		got := new(Reply)
		if err := parseReply(appendReply(nil, want), got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("reply: got %+v, %v, want %+v", got, err, want)
		}
	}
}

// FuzzParse guards against messages that make a host fail.
func FuzzParse(f *testing.F) {
	f.Add(appendRequest(nil, fullRequest()))
	f.Add(appendReply(nil, &Reply{Response: executor.Response{Rows: []byte("x")}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := parseRequest(data, new(Request)); err == nil && len(data) > 0 && data[0] == 0 {
			t.Error("accepted field number 0")
		}
		_ = parseReply(data, new(Reply))
	})
}

// BenchmarkCodec measures the size of a typical statement and its response, without the
// frames of drpc (4 bytes each) and TCP, and the time to encode and decode both.
func BenchmarkCodec(b *testing.B) {
	request := fullRequest()
	request.Operation.Tried, request.Operation.Begin, request.Prepared = nil, executor.VerbUnknown, nil
	request.Variables = connector.Variables{}
	request.Statement = executor.Request{ID: "q-1837465", Verb: executor.VerbRead, Arguments: "basket:cust031:4711"}
	reply := &Reply{
		Response: executor.Response{Rows: []byte("DATAROW basket:cust031:4711=12345678\r\n"), Signature: "0123456789abcdef", State: 'I', Position: executor.Position{Term: 3, Offset: 123456}},
		Database: "i-7f3a91c2ab", Reason: answeredReason, Attempts: 1, AssignmentRevision: 123456, MayHaveRun: true, number: 77,
	}
	var requestBytes, replyBytes []byte
	b.ReportAllocs()
	for b.Loop() {
		requestBytes, replyBytes = appendRequest(requestBytes[:0], request), appendReply(replyBytes[:0], reply)
		if err := parseRequest(requestBytes, new(Request)); err != nil {
			b.Fatal(err)
		}
		if err := parseReply(replyBytes, new(Reply)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(requestBytes)), "request_bytes")
	b.ReportMetric(float64(len(replyBytes)), "reply_bytes")
}
