package messenger

import (
	"context"

	"github.com/endiveturn/endiveturn/executor"
)

// A RemoteOpener runs exchanges at another host. Its exported fields are set
// before first use.
type RemoteOpener struct {
	Client *Client
	// Address returns the peer address of the host that holds the service; its
	// errors are refusals, or else mean that no holder is known.
	Address func(executor.Attributes) (string, error)
}

// Opener returns a RemoteOpener for one host.
func (c *Client) Opener(address string) *RemoteOpener {
	return &RemoteOpener{
		Client:  c,
		Address: func(executor.Attributes) (string, error) { return address, nil },
	}
}

// Open implements executor.Opener. It makes sure that there is a connection;
// whether the host holds the service shows with the first batch.
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
	if refusal := exchange.acquire(ctx); refusal != nil {
		return nil, refusal
	}
	return exchange, nil
}
