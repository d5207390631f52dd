package acceptor

import "encoding/binary"

// A scanner follows a stream of backend messages that is cut anywhere.
type scanner struct {
	header   [headerSize]byte
	headerAt int
	// rest is the number of bytes of the present message that follow.
	rest int
	// parsed and closed count ParseComplete and CloseComplete messages.
	parsed, closed int
	// failed is set after an ErrorResponse.
	failed bool
}

// between reports whether the stream ends between two messages.
func (s *scanner) between() bool { return s.headerAt == 0 && s.rest == 0 }

// scan follows the next bytes of the stream. It returns false if they cannot
// be messages of a backend.
func (s *scanner) scan(p []byte) bool {
	for len(p) > 0 {
		if s.rest > 0 {
			n := min(s.rest, len(p))
			s.rest -= n
			p = p[n:]
			continue
		}
		n := copy(s.header[s.headerAt:], p)
		s.headerAt += n
		p = p[n:]
		if s.headerAt < headerSize {
			return true
		}
		s.headerAt = 0
		length := int(int32(binary.BigEndian.Uint32(s.header[1:])))
		if length < 4 {
			return false
		}
		s.rest = length - 4
		s.count(s.header[0])
	}
	return true
}

func (s *scanner) count(kind byte) {
	switch kind {
	case '1':
		s.parsed++
	case '3':
		s.closed++
	case 'E':
		s.failed = true
	}
}
