package acceptor

import "encoding/binary"

// A scanner tracks message boundaries in a stream of backend messages that
// arrives in arbitrary pieces.
type scanner struct {
	header    [headerSize]byte
	headerLen int
	// remaining is the number of bytes of the current message still to come.
	remaining int
	// parseCompletes and closeCompletes count ParseComplete and CloseComplete
	// messages.
	parseCompletes, closeCompletes int
	// errorSeen is set after an ErrorResponse.
	errorSeen bool
}

// atMessageBoundary reports whether the stream so far ends with a complete
// message.
func (s *scanner) atMessageBoundary() bool { return s.headerLen == 0 && s.remaining == 0 }

// scan processes the next bytes of the stream. It returns false if they cannot
// be backend messages.
func (s *scanner) scan(p []byte) bool {
	for len(p) > 0 {
		if s.remaining > 0 {
			n := min(s.remaining, len(p))
			s.remaining -= n
			p = p[n:]
			continue
		}
		n := copy(s.header[s.headerLen:], p)
		s.headerLen += n
		p = p[n:]
		if s.headerLen < headerSize {
			return true
		}
		s.headerLen = 0
		length := int(int32(binary.BigEndian.Uint32(s.header[1:])))
		if length < 4 {
			return false
		}
		s.remaining = length - 4
		s.countMessage(s.header[0])
	}
	return true
}

func (s *scanner) countMessage(kind byte) {
	switch kind {
	case '1':
		s.parseCompletes++
	case '3':
		s.closeCompletes++
	case 'E':
		s.errorSeen = true
	}
}
