package pipeline

// maxChunkDigits bounds the length of a chunk size in hexadecimal digits, so that it fits into an int64.
const maxChunkDigits = 15

// chunkScanner finds the end of a body in chunks as its bytes pass. It accepts only what all parsers understand in the same way: sizes
// without extensions, lines that end with CR LF, and no trailer fields.
type chunkScanner struct {
	state  chunkState
	digits int
	size   int64 // of the chunk, or what is left of its data
}

// chunkState is the next part of the body.
type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkSizeEnd
	chunkData
	chunkDataCR
	chunkDataLF
	chunkLastCR
	chunkLastLF
	chunksEnded
)

// scan returns how many bytes of data belong to the body. ok is false when the end of the body cannot be told.
func (s *chunkScanner) scan(data []byte) (n int, ok bool) {
	for n < len(data) && s.state != chunksEnded {
		if s.state == chunkData {
			part := min(s.size, int64(len(data)-n))
			s.size -= part
			n += int(part)
			if s.size == 0 {
				s.state = chunkDataCR
			}
			continue
		}
		if !s.step(data[n]) {
			return 0, false
		}
		n++
	}
	return n, true
}

// step takes the next byte outside of the data of a chunk, and reports whether it is valid.
func (s *chunkScanner) step(b byte) bool {
	switch s.state {
	case chunkSize:
		if b == '\r' {
			s.state = chunkSizeEnd
			return s.digits > 0
		}
		digit, ok := hexDigit(b)
		s.size = s.size<<4 | digit
		s.digits++
		return ok && s.digits <= maxChunkDigits
	case chunkSizeEnd:
		s.digits = 0
		if s.state = chunkData; s.size == 0 {
			s.state = chunkLastCR
		}
		return b == '\n'
	case chunkDataCR, chunkLastCR:
		s.state++
		return b == '\r'
	case chunkDataLF:
		s.state = chunkSize
		return b == '\n'
	default: // chunkLastLF
		s.state = chunksEnded
		return b == '\n'
	}
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case b >= '0' && b <= '9':
		return int64(b - '0'), true
	case b >= 'a' && b <= 'f':
		return int64(b-'a') + 10, true
	case b >= 'A' && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}
