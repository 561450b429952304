// Package peerhttp is the adapter of the data path between nodes: the entry node forwards a request
// to the node beside the chosen upstream as plain HTTP/1.1, with its metadata in one header field.
package peerhttp

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// Header fields between nodes.
const (
	headerCall   = "Magnoliawharf-Call"
	headerReport = "Magnoliawharf-Report"
)

// ForwardPrefix is the path prefix of forwarded requests on the nodes' listener.
const ForwardPrefix = "/forward"

const (
	maxFieldLength = 256
	maxAttempts    = 64
	maxSlots       = 1 << 16
	maxTimeout     = 24 * time.Hour
	hopMargin      = 2 * time.Millisecond // time kept back at each hop for the way of the answer
)

// call is the metadata of a forwarded request. The deadline travels as time left, so that clocks
// need not agree.
type call struct {
	id, service, route, class, key string
	fingerprint                    uint64
	timeLeft                       time.Duration
	attempt, depth                 int
	bundleVersion                  uint64
	incarnation                    uint64
}

func encodeCall(req *caller.Request, incarnation uint64, now time.Time) string {
	values := url.Values{
		"id": {req.ID}, "sv": {req.Service}, "rt": {req.Route}, "cl": {req.Class},
		"fp": {strconv.FormatUint(req.Fingerprint, 16)},
		"tl": {strconv.FormatInt((req.Deadline.Sub(now) - hopMargin).Microseconds(), 10)},
		"at": {strconv.Itoa(req.Attempt)}, "dp": {strconv.Itoa(req.Depth)},
		"bv": {strconv.FormatUint(req.BundleVersion, 10)},
		"in": {strconv.FormatUint(incarnation, 10)},
	}
	if req.Key != "" {
		values.Set("key", req.Key)
	}
	return values.Encode()
}

func decodeCall(text string) (call, error) {
	values, err := url.ParseQuery(text)
	if err != nil {
		return call{}, fmt.Errorf("call metadata: %w", err)
	}
	r := reader{values: values}
	c := call{
		id: r.text("id"), service: r.text("sv"), route: r.text("rt"), class: r.text("cl"),
		key:           values.Get("key"),
		fingerprint:   r.number("fp", 16, ^uint64(0)),
		timeLeft:      time.Duration(r.number("tl", 10, uint64(maxTimeout.Microseconds()))) * time.Microsecond,
		attempt:       int(r.number("at", 10, maxAttempts)),
		depth:         int(r.number("dp", 10, caller.MaxDepth)),
		bundleVersion: r.number("bv", 10, ^uint64(0)),
		incarnation:   r.number("in", 10, ^uint64(0)),
	}
	if len(c.key) > maxFieldLength {
		r.fail("key")
	}
	return c, r.err
}

func encodeReport(report link.Report) string {
	return url.Values{
		"s": {strconv.Itoa(int(report.State))}, "n": {strconv.Itoa(report.Slots)},
		"u": {strconv.Itoa(report.InUse)}, "q": {strconv.Itoa(report.Queued)},
		"l": {strconv.Itoa(report.Long)}, "w": {strconv.Itoa(report.QueuedLong)},
		"v": {strconv.FormatInt(report.Service.Microseconds(), 10)},
		"t": {strconv.FormatInt(report.Took.Microseconds(), 10)},
	}.Encode()
}

func decodeReport(text string) (*link.Report, error) {
	values, err := url.ParseQuery(text)
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	r := reader{values: values}
	report := &link.Report{
		State:  instance.State(r.number("s", 10, uint64(instance.Failed))),
		Slots:  int(r.number("n", 10, maxSlots)),
		InUse:  int(r.number("u", 10, maxSlots)),
		Queued: int(r.number("q", 10, maxSlots)),
		Long:   int(r.number("l", 10, maxSlots)), QueuedLong: int(r.number("w", 10, maxSlots)),
		Service: time.Duration(r.number("v", 10, uint64(maxTimeout.Microseconds()))) * time.Microsecond,
		Took:    time.Duration(r.number("t", 10, uint64(maxTimeout.Microseconds()))) * time.Microsecond,
	}
	return report, r.err
}

// reader keeps the first error over several fields.
type reader struct {
	values url.Values
	err    error
}

func (r *reader) text(name string) string {
	value := r.values.Get(name)
	if value == "" || len(value) > maxFieldLength {
		r.fail(name)
	}
	return value
}

func (r *reader) number(name string, base int, most uint64) uint64 {
	value, err := strconv.ParseUint(r.values.Get(name), base, 64)
	if err != nil || value > most {
		r.fail(name)
	}
	return value
}

func (r *reader) fail(name string) {
	if r.err == nil {
		r.err = fmt.Errorf("field %q is missing or out of range", name)
	}
}
