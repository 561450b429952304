package caller

import (
	"math"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// MaxColdTime bounds the time for which an upstream may state that it stays cold.
const MaxColdTime = 24 * time.Hour

// ColdTime is what a health report states of the time for which the upstream stays cold.
type ColdTime struct {
	Stated    bool
	Remaining time.Duration // 0: the upstream is warm
	// Unreadable is the beginning of a value that is no such time, "" for none.
	Unreadable string
}

// ColdTimeOf returns the cold time in the header of a health report: the longest one, if there are several.
func (d *Dialect) ColdTimeOf(header map[string][]string) (cold ColdTime) {
	if d.Cold == "" {
		return ColdTime{}
	}
	for _, value := range textproto.MIMEHeader(header).Values(d.Cold) {
		text := strings.TrimSpace(value)
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(ms) || ms < 0 || ms > float64(MaxColdTime.Milliseconds()) {
			cold.Unreadable = text[:min(len(text), maxUnreadableLength)]
			if text == "" {
				cold.Unreadable = "(empty)"
			}
			continue
		}
		cold.Stated = true
		cold.Remaining = max(cold.Remaining, time.Duration(ms*float64(time.Millisecond)))
	}
	return cold
}
