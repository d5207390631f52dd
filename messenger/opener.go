package messenger

import (
	"context"

	"github.com/endiveturn/endiveturn/executor"
)

// A RemoteOpener opens exchanges at another host. Its exported fields must be set
// before first use.
type RemoteOpener struct {
	Client *Client
	// Address returns the peer address of the holder of the service. An error that
	// is not a refusal means that no holder is known.
	Address func(executor.Attributes) (string, error)
}

// Opener returns a RemoteOpener for one host.
func (c *Client) Opener(address string) *RemoteOpener {
	return &RemoteOpener{
		Client:  c,
		Address: func(executor.Attributes) (string, error) { return address, nil },
	}
}

// Open implements executor.Opener. It acquires a connection; the host checks
// whether it holds the service when the first batch arrives.
func (o *RemoteOpener) Open(ctx context.Context, attributes executor.Attributes) (executor.Exchange, error) {
	address, err := o.Address(attributes)
	if err != nil {
		refusal := executor.AsRefusal(err)
		if refusal.Outcome == executor.Unknown {
			refusal = executor.RefuseNotRun(executor.CodeCannotServe, err.Error())
		}
		return nil, refusal
	}
	exchange := &remoteExchange{opener: o, address: address, attributes: attributes}
	if refusal := exchange.acquireConn(ctx); refusal != nil {
		return nil, refusal
	}
	return exchange, nil
}
