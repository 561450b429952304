package upstreamconn

import (
	"math"
	"net"
)

// maxAnswerHead is the largest head of an answer, in bytes, with the interim answers (1xx) before it.
const maxAnswerHead = 64 << 10

// headLimiter reads from a connection and limits the bytes that are read for the head of an answer, which net/http reads
// without a limit.
type headLimiter struct {
	conn net.Conn
	left int64 // bytes that may still be read
}

// expectHead limits the bytes that are read until endHead is called.
func (l *headLimiter) expectHead() { l.left = maxAnswerHead }

// endHead removes the limit, since a body may have any length.
func (l *headLimiter) endHead() { l.left = math.MaxInt64 }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, headTooLong
	}
	n, err := l.conn.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}
