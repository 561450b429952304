// Package peerhttp is the HTTP adapter of the data path between nodes. The entry node forwards a request to
// the node beside the chosen upstream over HTTP/1.1, with the metadata of the request in one header field.
package peerhttp

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// Header fields between nodes.
const (
	headerCall   = "Magnoliawharf-Call"
	headerReport = "Magnoliawharf-Report"
	// headerPlacement is present only when package entry placed the request.
	headerPlacement = "Magnoliawharf-Placement"
	// headerWaited is the time that a placed request waited for a slot, in microseconds. It is omitted below minReportedWait.
	headerWaited = "Magnoliawharf-Waited"
	// headerNotice is what the upstream states about itself in the answer, omitted when it states nothing.
	headerNotice = "Magnoliawharf-Notice"
	// headerOpenFingerprint is present when the fingerprint of headerCall leaves out the body. Nodes of an earlier version ignore it.
	headerOpenFingerprint = "Magnoliawharf-Open-Fingerprint"
)

// openFingerprint is the value of headerOpenFingerprint.
const openFingerprint = "1"

// ForwardPrefix is the path prefix of forwarded requests on the peer listener.
const ForwardPrefix = "/forward"

const (
	maxFieldLength  = 256
	maxAttempts     = 64
	maxSlots        = 1 << 16
	maxTimeout      = 24 * time.Hour
	hopMargin       = 2 * time.Millisecond // reserved at each hop for the answer to travel back
	minReportedWait = time.Millisecond
)

// callMetadata is the metadata of a forwarded request. The deadline is sent as the time left, so that the
// clocks of the nodes need not be synchronized.
type callMetadata struct {
	id, service, route, class, key string
	from                           instance.ID // node that forwards the request
	fingerprint                    uint64
	timeLeft                       time.Duration
	attempt, depth                 int
	bundleVersion                  uint64
	incarnation                    uint64
}

const (
	callVersion    = "1"
	callFieldCount = 13 // includes the version
)

// encodeCall returns the value of headerCall: the fields joined by '&', with text fields escaped. Fields are
// identified by position, which keeps the value short and cheap to parse.
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

func decodeCall(text string) (callMetadata, error) {
	var fields [callFieldCount]string
	rest, more := text, true
	for i := range fields {
		if !more {
			return callMetadata{}, fmt.Errorf("call metadata has %d fields, want %d", i, callFieldCount)
		}
		fields[i], rest, more = strings.Cut(rest, "&")
	}
	if more || fields[0] != callVersion {
		return callMetadata{}, errors.New("call metadata has an unsupported version or too many fields")
	}
	var p fieldParser
	call := callMetadata{
		id: p.text(fields[1], 1), service: p.text(fields[2], 1), route: p.text(fields[3], 1), class: p.text(fields[4], 1),
		key: p.text(fields[5], 0), from: instance.ID(p.text(fields[6], 1)),
		fingerprint:   p.number(fields[7], 16, ^uint64(0)),
		timeLeft:      p.microseconds(fields[8]),
		attempt:       int(p.number(fields[9], 10, maxAttempts)),
		depth:         int(p.number(fields[10], 10, caller.MaxDepth)),
		bundleVersion: p.number(fields[11], 10, ^uint64(0)),
		incarnation:   p.number(fields[12], 10, ^uint64(0)),
	}
	if p.err != nil {
		return callMetadata{}, fmt.Errorf("call metadata: %w", p.err)
	}
	return call, nil
}

// fieldParser parses several fields and records an error, so that the caller checks once for all fields.
type fieldParser struct{ err error }

func (p *fieldParser) text(field string, minLength int) string {
	value, err := url.QueryUnescape(field)
	if err != nil || len(value) < minLength || len(value) > maxFieldLength {
		p.err = fmt.Errorf("text %q is malformed, missing or too long", field)
	}
	return value
}

func (p *fieldParser) number(field string, base int, maxValue uint64) uint64 {
	value, err := strconv.ParseUint(field, base, 64)
	if err != nil || value > maxValue {
		p.err = fmt.Errorf("number %q is malformed or out of range", field)
	}
	return value
}

func (p *fieldParser) microseconds(field string) time.Duration {
	return time.Duration(p.number(field, 10, uint64(maxTimeout.Microseconds()))) * time.Microsecond
}

const reportFieldCount = 8

// encodeReport returns the value of headerReport: the fields joined by '&', times in microseconds.
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
	if len(fields) != reportFieldCount {
		return nil, fmt.Errorf("report has %d fields, want %d", len(fields), reportFieldCount)
	}
	var p fieldParser
	report := &link.Report{
		State:     instance.State(p.number(fields[0], 10, uint64(instance.Failed))),
		Slots:     int(p.number(fields[1], 10, maxSlots)),
		InUse:     int(p.number(fields[2], 10, maxSlots)),
		Queued:    int(p.number(fields[3], 10, maxSlots)),
		LongInUse: int(p.number(fields[4], 10, maxSlots)), QueuedLong: int(p.number(fields[5], 10, maxSlots)),
		ServiceTime: p.microseconds(fields[6]),
		Elapsed:     p.microseconds(fields[7]),
	}
	return report, p.err
}

func encodeWaited(waited time.Duration) string { return strconv.FormatInt(waited.Microseconds(), 10) }

func decodeWaited(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	var p fieldParser
	waited := p.microseconds(text)
	return waited, p.err
}

const noticeFieldCount = 4

// encodeNotice returns the value of headerNotice, "" when the upstream states nothing.
func encodeNotice(n caller.Notice) string {
	if !n.Leaving && !n.Limit.Named {
		return ""
	}
	out := strconv.AppendBool(make([]byte, 0, maxFieldLength), n.Leaving)
	out = strconv.AppendBool(append(out, '&'), n.Limit.Named)
	out = strconv.AppendFloat(append(out, '&'), n.Limit.PerSecond, 'g', -1, 64)
	out = strconv.AppendInt(append(out, '&'), n.Born, 10)
	return string(out)
}

// decodeNotice returns the notice of a header field. A malformed one states nothing, and does not invalidate the answer.
func decodeNotice(text string) caller.Notice {
	fields := strings.Split(text, "&")
	if len(fields) != noticeFieldCount {
		return caller.Notice{}
	}
	leaving, leavingErr := strconv.ParseBool(fields[0])
	named, namedErr := strconv.ParseBool(fields[1])
	rate, rateErr := strconv.ParseFloat(fields[2], 64)
	born, bornErr := strconv.ParseInt(fields[3], 10, 64)
	limit, ok := caller.LimitOf(rate)
	if errors.Join(leavingErr, namedErr, rateErr, bornErr) != nil || !ok {
		return caller.Notice{}
	}
	if !named {
		limit = caller.RateLimit{}
	}
	return caller.Notice{Leaving: leaving, Limit: limit, Born: born}
}

// placementFieldCount is the number of fields of a placement without a tenant. The tenant is one more, which is left out when empty:
// nodes of an earlier version accept only the fields before it.
const placementFieldCount = 7

// encodePlacement returns the value of headerPlacement: the fields joined by '&', as encodeCall does.
func encodePlacement(p *caller.Placement) string {
	out := make([]byte, 0, maxFieldLength)
	for _, text := range [...]string{p.Host, p.Origin, p.Upstream} {
		out = append(append(out, url.QueryEscape(text)...), '&')
	}
	out = strconv.AppendInt(out, int64(p.Priority), 10)
	out = strconv.AppendInt(append(out, '&'), p.Objective.Microseconds(), 10)
	out = append(out, '&', encodeBool(p.Repeatable), '&', encodeBool(p.Long))
	if p.Tenant != "" {
		out = append(append(out, '&'), url.QueryEscape(p.Tenant)...)
	}
	return string(out)
}

func encodeBool(set bool) byte {
	if set {
		return '1'
	}
	return '0'
}

// decodePlacement parses the value of headerPlacement. It returns nil for an absent field.
func decodePlacement(text string) (*caller.Placement, error) {
	if text == "" {
		return nil, nil
	}
	fields := strings.Split(text, "&")
	if len(fields) != placementFieldCount && len(fields) != placementFieldCount+1 {
		return nil, fmt.Errorf("placement has %d fields, want %d or one more", len(fields), placementFieldCount)
	}
	var p fieldParser
	placement := &caller.Placement{
		Host: p.text(fields[0], 1), Origin: p.text(fields[1], 0), Upstream: p.text(fields[2], 1),
		Priority: int(p.number(fields[3], 10, contract.MaxRequestPriority)), Objective: p.microseconds(fields[4]),
		Repeatable: p.number(fields[5], 10, 1) == 1, Long: p.number(fields[6], 10, 1) == 1,
	}
	if len(fields) > placementFieldCount {
		placement.Tenant = p.text(fields[placementFieldCount], 1)
	}
	if p.err != nil {
		return nil, fmt.Errorf("placement: %w", p.err)
	}
	return placement, nil
}
