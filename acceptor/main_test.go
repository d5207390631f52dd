package acceptor

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive their connection or acceptor.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
