package exchanger

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
)

// errNotMessage says that a value is not a *Message.
var errNotMessage = errors.New("not a message of the exchange")

// The wire types hold durations in microseconds.
type wirePrimary struct {
	ID           string `json:"id"`
	Born         int64  `json:"born"`
	SinceSuccess int64  `json:"since_success_us"`
	SinceFailure int64  `json:"since_failure_us"`
}

type wireUsage struct {
	Admitted int64   `json:"admitted"`
	Demand   float64 `json:"demand_per_s"`
}

type wireRecord struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type wireMessage struct {
	Host        string                 `json:"host"`
	Incarnation string                 `json:"incarnation"`
	Address     string                 `json:"address"`
	DataCentre  string                 `json:"data_centre"`
	Revision    int64                  `json:"revision"`
	Age         int64                  `json:"age_us"`
	Stopping    bool                   `json:"stopping,omitempty"`
	Usages      map[string]wireUsage   `json:"usages,omitempty"`
	Primaries   map[string]wirePrimary `json:"primaries,omitempty"`
	Released    map[string]int64       `json:"released,omitempty"`
	Records     []wireRecord           `json:"records,omitempty"`
}

// encoding carries messages over drpc as JSON.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(message drpc.Message) ([]byte, error) {
	m, ok := message.(*Message)
	if !ok {
		return nil, errors.Wrapf(errNotMessage, "%T", message)
	}
	data, err := json.Marshal(toWire(m))
	return data, errors.Wrap(err, "encode exchange")
}

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(data []byte, message drpc.Message) error {
	m, ok := message.(*Message)
	if !ok {
		return errors.Wrapf(errNotMessage, "%T", message)
	}
	var wire wireMessage
	if err := json.Unmarshal(data, &wire); err != nil {
		return errors.Wrap(err, "decode exchange")
	}
	*m = fromWire(wire)
	return nil
}

func toWire(m *Message) wireMessage {
	r := m.Report
	wire := wireMessage{
		Host: r.Host, Incarnation: r.Incarnation, Address: r.Address, DataCentre: r.DataCentre,
		Revision: r.Revision, Age: r.Age.Microseconds(), Stopping: r.Stopping, Released: r.Released,
		Usages: make(map[string]wireUsage, len(r.Usages)), Primaries: make(map[string]wirePrimary, len(r.Primaries)),
	}
	for name, usage := range r.Usages {
		wire.Usages[name] = wireUsage(usage)
	}
	for name, p := range r.Primaries {
		wire.Primaries[name] = wirePrimary{
			ID: p.ID, Born: p.Born,
			SinceSuccess: p.SinceSuccess.Microseconds(), SinceFailure: p.SinceFailure.Microseconds(),
		}
	}
	for _, record := range m.Records {
		wire.Records = append(wire.Records, wireRecord(record))
	}
	return wire
}

func fromWire(wire wireMessage) Message {
	m := Message{Report: Report{
		Host: wire.Host, Incarnation: wire.Incarnation, Address: wire.Address, DataCentre: wire.DataCentre,
		Revision: wire.Revision, Age: time.Duration(wire.Age) * time.Microsecond, Stopping: wire.Stopping,
		Released: wire.Released,
		Usages:   make(map[string]Usage, len(wire.Usages)), Primaries: make(map[string]PrimaryHealth, len(wire.Primaries)),
	}}
	for name, usage := range wire.Usages {
		m.Report.Usages[name] = Usage(usage)
	}
	for name, p := range wire.Primaries {
		m.Report.Primaries[name] = PrimaryHealth{
			ID: p.ID, Born: p.Born,
			SinceSuccess: time.Duration(p.SinceSuccess) * time.Microsecond,
			SinceFailure: time.Duration(p.SinceFailure) * time.Microsecond,
		}
	}
	for _, record := range wire.Records {
		m.Records = append(m.Records, Record(record))
	}
	return m
}
