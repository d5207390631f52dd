package soaker

import "bytes"

// minHeld is the length in bytes of the shortest end of a piece that is held back
// because an address may begin in it. Shorter ends occur in other data by chance.
const minHeld = 4

// addressPrefix begins all addresses.
var addressPrefix = []byte("127.0.0.1:")

// replacements hold addresses, and what they are replaced by. All have the same length.
type replacements struct{ from, to [][]byte }

func (r *replacements) add(from, to string) {
	r.from, r.to = append(r.from, []byte(from)), append(r.to, []byte(to))
}

// A rewriter replaces addresses in one direction of a connection between hosts. Hosts
// report their addresses to each other; without the replacement they would not use the
// links. The equal lengths keep the framing.
type rewriter struct {
	replacements
	// held is the end of the last piece, in which an address may begin.
	held []byte
}

// rewrite returns the bytes to be forwarded for the next piece.
func (r *rewriter) rewrite(piece []byte) []byte {
	if len(r.from) == 0 {
		return piece
	}
	data := append(r.held, piece...)
	for at := 0; ; {
		n := bytes.Index(data[at:], addressPrefix)
		if n < 0 {
			break
		}
		at += n + r.replaceAt(data[at+n:])
	}
	end := len(data) - r.incomplete(data)
	r.held = bytes.Clone(data[end:])
	return data[:end]
}

// replaceAt replaces an address at the beginning of data and returns the number of bytes
// that are done.
func (r *rewriter) replaceAt(data []byte) int {
	for i, from := range r.from {
		if bytes.HasPrefix(data, from) {
			return copy(data, r.to[i])
		}
	}
	return len(addressPrefix)
}

// incomplete returns the length of the end of data in which an address may begin.
func (r *rewriter) incomplete(data []byte) int {
	longest := 0
	for _, from := range r.from {
		for n := min(len(from)-1, len(data)); n >= minHeld && n > longest; n-- {
			if bytes.HasPrefix(from, data[len(data)-n:]) {
				longest = n
			}
		}
	}
	return longest
}

// flush returns the bytes that are held back.
func (r *rewriter) flush() []byte {
	held := r.held
	r.held = nil
	return held
}
