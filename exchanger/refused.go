package exchanger

import (
	"syscall"

	"github.com/pkg/errors"
)

// isRefused reports whether the other machine answered that nothing listens.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
