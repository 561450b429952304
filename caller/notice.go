package caller

import (
	"math"
	"net/textproto"
	"strconv"
	"strings"
)

// Notice is what an upstream states about itself in an answer. It holds from then on, for the requests of all nodes.
type Notice struct {
	Leaving bool      // the upstream leaves and takes no new requests
	Limit   RateLimit // the rate of requests that it takes
	// Unreadable is the value of a rate limit that is not a number of requests a second, "" for none. It says that the upstream names
	// a limit, but not which.
	Unreadable string
	// Born is the start of the incarnation, as the node beside the upstream knows it, in ms since the Unix epoch; 0 when not known.
	Born int64
}

// RateLimit is the rate of requests that an upstream takes from all nodes together. The zero value is no limit.
type RateLimit struct {
	Named     bool
	PerSecond float64
}

const (
	// MaxRate bounds a rate limit, in requests a second, so that arithmetic on it cannot overflow.
	MaxRate = 1e6
	// maxUnreadableLength is the part of an unreadable value that is kept, in bytes.
	maxUnreadableLength = 64
)

// LimitOf returns the limit of the given rate, and false when the rate is no number of requests a second.
func LimitOf(perSecond float64) (limit RateLimit, ok bool) {
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return RateLimit{}, false
	}
	return RateLimit{Named: true, PerSecond: min(perSecond, MaxRate)}, true
}

// NoticeOf returns what the upstream states about itself in the header of an answer.
func (d *Dialect) NoticeOf(header map[string][]string) Notice {
	var notice Notice
	fields := textproto.MIMEHeader(header)
	if d.Leaving != "" {
		value := strings.TrimSpace(fields.Get(d.Leaving))
		notice.Leaving = value != "" && value != "0"
	}
	if d.RateLimit != "" {
		notice.Limit, notice.Unreadable = lowestLimit(fields.Values(d.RateLimit))
	}
	return notice
}

// lowestLimit returns the lowest of the limits that the values of a field name. Values that name none are reported only when no
// other one does.
func lowestLimit(values []string) (lowest RateLimit, unreadable string) {
	for _, text := range strings.Split(strings.Join(values, ","), ",") {
		text = strings.TrimSpace(text)
		rate, err := strconv.ParseFloat(text, 64)
		limit, ok := LimitOf(rate)
		switch {
		case err != nil || !ok:
			unreadable = text[:min(len(text), maxUnreadableLength)]
			if text == "" && len(values) > 0 {
				unreadable = "(empty)"
			}
		case !lowest.Named || limit.PerSecond < lowest.PerSecond:
			lowest = limit
		}
	}
	if lowest.Named {
		return lowest, ""
	}
	return lowest, unreadable
}
