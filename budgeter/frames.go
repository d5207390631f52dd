package budgeter

// Bits of the first byte of a frame of drpc. The stream, the number of the message and the
// size of the data follow as integers of 7 bits a byte, least significant first.
const (
	frameDone       = 1
	frameVarintMore = 0x80
	frameVarints    = 3
)

// A frameTracker follows the frames of drpc on a connection and counts the bytes of the
// message that has not arrived completely. The zero value is at the start of a frame.
type frameTracker struct {
	// incomplete is the number of bytes of the message in progress.
	incomplete int64
	// control is the first byte of the frame, and varints the number of integers that have
	// arrived; inHeader is set between the first byte and the data.
	control  byte
	inHeader bool
	varints  int
	// value and shift are the integer that is being read.
	value uint64
	shift uint
	// data is the number of bytes of the frame's data that have not arrived.
	data uint64
}

// track follows bytes that have arrived.
func (f *frameTracker) track(p []byte) {
	for len(p) > 0 {
		if f.data > 0 {
			n := min(f.data, uint64(len(p)))
			f.incomplete += int64(n)
			f.data -= n
			p = p[n:]
			f.endFrame()
			continue
		}
		f.incomplete++
		f.trackHeader(p[0])
		p = p[1:]
	}
}

// trackHeader follows a byte of a frame's header.
func (f *frameTracker) trackHeader(b byte) {
	if !f.inHeader {
		f.control, f.inHeader, f.varints, f.value, f.shift = b, true, 0, 0, 0
		return
	}
	// Bits beyond 64 are dropped; drpc ends a connection that sends such an integer.
	f.value |= uint64(b&^frameVarintMore) << f.shift
	f.shift += 7
	if b&frameVarintMore != 0 {
		return
	}
	if f.varints++; f.varints < frameVarints {
		f.value, f.shift = 0, 0
		return
	}
	f.inHeader, f.data = false, f.value
	f.endFrame()
}

// endFrame ends a frame whose data has arrived. With the last one of a message, nothing
// of it is incomplete.
func (f *frameTracker) endFrame() {
	if f.data == 0 && f.control&frameDone != 0 {
		f.incomplete = 0
	}
}
