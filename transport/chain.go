package transport

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

const (
	chainVersion   = "1"
	chainFields    = 5
	maxChainLength = 96
	maxChainTime   = 24 * time.Hour
)

// ErrMalformedChain is returned for a HeaderChain value that does not have the form that EncodeChain writes.
var ErrMalformedChain = errors.New("header " + HeaderChain + " is malformed; copy it unchanged from the request being served")

// EncodeChain returns the value of HeaderChain: version, attempt, depth, time left in microseconds
// and the wall clock in microseconds, separated by dots.
func EncodeChain(c caller.Chain) string {
	out := make([]byte, 0, maxChainLength)
	out = append(out, chainVersion...)
	for _, number := range [...]int64{int64(c.Attempt), int64(c.Depth), c.TimeLeft.Microseconds(), c.SentAt.UnixMicro()} {
		out = append(out, '.')
		out = strconv.AppendInt(out, number, 10)
	}
	return string(out)
}

// DecodeChain parses the value of HeaderChain. An absent or empty field stands for a call without a parent
// call. A depth above caller.MaxDepth is clamped and not an error, so that the refusal can name it.
func DecodeChain(h http.Header) (caller.Chain, error) {
	values := h[HeaderChain]
	if len(values) == 0 || (len(values) == 1 && values[0] == "") {
		return caller.Chain{Attempt: 1}, nil
	}
	if len(values) > 1 || len(values[0]) > maxChainLength {
		return caller.Chain{}, ErrMalformedChain
	}
	parts := strings.Split(values[0], ".")
	if len(parts) != chainFields || parts[0] != chainVersion {
		return caller.Chain{}, ErrMalformedChain
	}
	var numbers [chainFields - 1]uint64
	for i, part := range parts[1:] {
		number, err := strconv.ParseUint(part, 10, 63)
		if err != nil {
			return caller.Chain{}, ErrMalformedChain
		}
		numbers[i] = number
	}
	attempt, depth, left, sent := numbers[0], numbers[1], numbers[2], numbers[3]
	if attempt < 1 || depth < 1 || left > uint64(maxChainTime.Microseconds()) {
		return caller.Chain{}, ErrMalformedChain
	}
	return caller.Chain{
		Attempt:  int(min(attempt, caller.MaxChainAttempts)),
		Depth:    int(min(depth, caller.MaxDepth)),
		TimeLeft: time.Duration(left) * time.Microsecond,
		SentAt:   time.UnixMicro(int64(sent)),
	}, nil
}
