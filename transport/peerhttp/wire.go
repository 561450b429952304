// Package peerhttp is the adapter of the data path between nodes: the entry node forwards a request
// to the node beside the chosen upstream as plain HTTP/1.1, with its metadata in one header field.
package peerhttp

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// Header fields between nodes.
const (
	headerCall   = "Magnoliawharf-Call"
	headerReport = "Magnoliawharf-Report"
	// headerPlacement is only there when an entry node of package entry placed the request.
	headerPlacement = "Magnoliawharf-Placement"
	// headerWaited holds the time that a placed request waited for a slot, in microseconds. It is left out below leastWaited.
	headerWaited = "Magnoliawharf-Waited"
)

// ForwardPrefix is the path prefix of forwarded requests on the nodes' listener.
const ForwardPrefix = "/forward"

const (
	maxFieldLength = 256
	maxAttempts    = 64
	maxSlots       = 1 << 16
	maxTimeout     = 24 * time.Hour
	hopMargin      = 2 * time.Millisecond // time kept back at each hop for the way of the answer
	leastWaited    = time.Millisecond
)

// call is the metadata of a forwarded request. The deadline travels as time left, so that clocks
// need not agree.
type call struct {
	id, service, route, class, key string
	from                           instance.ID // node that forwards
	fingerprint                    uint64
	timeLeft                       time.Duration
	attempt, depth                 int
	bundleVersion                  uint64
	incarnation                    uint64
}

// callFields is the number of fields of a call, the version included.
const (
	callVersion = "1"
	callFields  = 13
)

// encodeCall returns the fields joined by '&', texts escaped. Positions instead of names keep it short
// and cheap to read.
func encodeCall(req *caller.Request, from instance.ID, incarnation uint64, now time.Time) string {
	out := make([]byte, 0, maxFieldLength)
	out = append(out, callVersion...)
	for _, text := range [...]string{req.ID, req.Service, req.Route, req.Class, req.Key, string(from)} {
		out = append(out, '&')
		out = append(out, url.QueryEscape(text)...)
	}
	left := (req.Deadline.Sub(now) - hopMargin).Microseconds()
	out = strconv.AppendUint(append(out, '&'), req.Fingerprint, 16)
	out = strconv.AppendInt(append(out, '&'), left, 10)
	out = strconv.AppendInt(append(out, '&'), int64(req.Attempt), 10)
	out = strconv.AppendInt(append(out, '&'), int64(req.Depth), 10)
	out = strconv.AppendUint(append(out, '&'), req.BundleVersion, 10)
	out = strconv.AppendUint(append(out, '&'), incarnation, 10)
	return string(out)
}

func decodeCall(text string) (call, error) {
	var fields [callFields]string
	rest, more := text, true
	for i := range fields {
		if !more {
			return call{}, fmt.Errorf("call metadata has %d fields, want %d", i, callFields)
		}
		fields[i], rest, more = strings.Cut(rest, "&")
	}
	if more || fields[0] != callVersion {
		return call{}, errors.New("call metadata has another version or too many fields")
	}
	var r fieldReader
	c := call{
		id: r.text(fields[1], 1), service: r.text(fields[2], 1), route: r.text(fields[3], 1), class: r.text(fields[4], 1),
		key: r.text(fields[5], 0), from: instance.ID(r.text(fields[6], 1)),
		fingerprint:   r.number(fields[7], 16, ^uint64(0)),
		timeLeft:      r.microseconds(fields[8]),
		attempt:       int(r.number(fields[9], 10, maxAttempts)),
		depth:         int(r.number(fields[10], 10, caller.MaxDepth)),
		bundleVersion: r.number(fields[11], 10, ^uint64(0)),
		incarnation:   r.number(fields[12], 10, ^uint64(0)),
	}
	if r.err != nil {
		return call{}, fmt.Errorf("call metadata: %w", r.err)
	}
	return c, nil
}

// fieldReader keeps the first error over several fields.
type fieldReader struct{ err error }

func (r *fieldReader) text(field string, least int) string {
	value, err := url.QueryUnescape(field)
	if err != nil || len(value) < least || len(value) > maxFieldLength {
		r.err = fmt.Errorf("text %q is malformed, missing or too long", field)
	}
	return value
}

func (r *fieldReader) number(field string, base int, most uint64) uint64 {
	value, err := strconv.ParseUint(field, base, 64)
	if err != nil || value > most {
		r.err = fmt.Errorf("number %q is malformed or out of range", field)
	}
	return value
}

func (r *fieldReader) microseconds(field string) time.Duration {
	return time.Duration(r.number(field, 10, uint64(maxTimeout.Microseconds()))) * time.Microsecond
}

// reportFields is the number of fields of a report.
const reportFields = 8

// encodeReport returns the fields joined by '&', as encodeCall does. Times are in microseconds.
func encodeReport(report link.Report) string {
	out := strconv.AppendInt(make([]byte, 0, maxFieldLength), int64(report.State), 10)
	for _, number := range [...]int64{
		int64(report.Slots), int64(report.InUse), int64(report.Queued), int64(report.LongInUse), int64(report.QueuedLong),
		report.ServiceTime.Microseconds(), report.Elapsed.Microseconds(),
	} {
		out = strconv.AppendInt(append(out, '&'), number, 10)
	}
	return string(out)
}

func decodeReport(text string) (*link.Report, error) {
	fields := strings.Split(text, "&")
	if len(fields) != reportFields {
		return nil, fmt.Errorf("report has %d fields, want %d", len(fields), reportFields)
	}
	var r fieldReader
	report := &link.Report{
		State:     instance.State(r.number(fields[0], 10, uint64(instance.Failed))),
		Slots:     int(r.number(fields[1], 10, maxSlots)),
		InUse:     int(r.number(fields[2], 10, maxSlots)),
		Queued:    int(r.number(fields[3], 10, maxSlots)),
		LongInUse: int(r.number(fields[4], 10, maxSlots)), QueuedLong: int(r.number(fields[5], 10, maxSlots)),
		ServiceTime: r.microseconds(fields[6]),
		Elapsed:     r.microseconds(fields[7]),
	}
	return report, r.err
}

func encodeWaited(waited time.Duration) string { return strconv.FormatInt(waited.Microseconds(), 10) }

func decodeWaited(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	var r fieldReader
	waited := r.microseconds(text)
	return waited, r.err
}

// placementFields is the number of fields of a placement.
const placementFields = 7

// maxPriority bounds the priority of a request.
const maxPriority = 1 << 16

// encodePlacement returns the fields joined by '&', as encodeCall does.
func encodePlacement(p *caller.Placement) string {
	out := make([]byte, 0, maxFieldLength)
	for _, text := range [...]string{p.Host, p.Origin, p.Upstream} {
		out = append(append(out, url.QueryEscape(text)...), '&')
	}
	out = strconv.AppendInt(out, int64(p.Priority), 10)
	out = strconv.AppendInt(append(out, '&'), p.Objective.Microseconds(), 10)
	return string(append(out, '&', flag(p.Repeatable), '&', flag(p.Long)))
}

func flag(set bool) byte {
	if set {
		return '1'
	}
	return '0'
}

// decodePlacement reads what encodePlacement wrote. An absent header is no placement.
func decodePlacement(text string) (*caller.Placement, error) {
	if text == "" {
		return nil, nil
	}
	fields := strings.Split(text, "&")
	if len(fields) != placementFields {
		return nil, fmt.Errorf("placement has %d fields, want %d", len(fields), placementFields)
	}
	var r fieldReader
	p := &caller.Placement{
		Host: r.text(fields[0], 1), Origin: r.text(fields[1], 0), Upstream: r.text(fields[2], 1),
		Priority: int(r.number(fields[3], 10, maxPriority)), Objective: r.microseconds(fields[4]),
		Repeatable: r.number(fields[5], 10, 1) == 1, Long: r.number(fields[6], 10, 1) == 1,
	}
	if r.err != nil {
		return nil, fmt.Errorf("placement: %w", r.err)
	}
	return p, nil
}
