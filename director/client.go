package director

import (
	"time"

	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/executor"
)

// A Startup holds the parameters of a client's startup message.
type Startup struct {
	// Database is the name of the database that the client requests.
	Database string
	// Key is the API key that the client presents, or empty.
	Key string
	// Address is the remote address of the client, for the log.
	Address string
	// Account is charged for what the session keeps; nil sets no limit.
	Account *budgeter.Account
}

// A Client is a client connection that decodes and encodes the protocol.
type Client interface {
	// Startup reads the startup message.
	Startup(deadline time.Time) (Startup, error)
	// Receive reads the next statement. After an error that wraps
	// os.ErrDeadlineExceeded or ErrInterrupted it can be called again.
	Receive(deadline time.Time) (executor.Request, error)
	// Pending reports whether at least a part of another statement has arrived.
	Pending() bool
	// Send writes a response.
	Send(response executor.Response) error
	// SendReady informs the client that its startup succeeded.
	SendReady() error
	// Refuse rejects the startup with an error.
	Refuse(code executor.Code, text string) error
	// Interrupt makes a blocked Receive return ErrInterrupted.
	Interrupt()
	Close() error
}
