package holder

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive the holder.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
