package peerrpc

import (
	"errors"
	"slices"
	"time"

	api "github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1"
	"github.com/magnoliawharf/magnoliawharf/idempotency"
)

const (
	idempotencyMaxNameBytes    = 256
	idempotencyMaxHeaderFields = 64
	idempotencyMaxChunkItems   = 1024
)

var errIdempotencyMessage = errors.New("idempotency message has a value that is missing or out of bounds")

// idempotencyDecoder converts received messages and checks their values. It remembers whether any value was invalid, so
// that a caller converts all fields and then checks err once.
type idempotencyDecoder struct{ invalid bool }

func (d *idempotencyDecoder) err() error {
	if d.invalid {
		return errIdempotencyMessage
	}
	return nil
}

func (d *idempotencyDecoder) check(ok bool) {
	if !ok {
		d.invalid = true
	}
}

func (d *idempotencyDecoder) name(text string) string {
	d.check(text != "" && len(text) <= idempotencyMaxNameBytes)
	return text
}

func (d *idempotencyDecoder) identity(in *api.Identity) idempotency.Identity {
	return idempotency.Identity{ID: d.name(in.GetId()), Incarnation: in.GetIncarnation()}
}

func (d *idempotencyDecoder) key(raw []byte) idempotency.Key {
	key := idempotency.Key(raw)
	d.check(key.Valid())
	return key
}

func (d *idempotencyDecoder) attempt(raw []byte) idempotency.Attempt {
	if len(raw) != len(idempotency.Attempt{}) {
		d.invalid = true
		return idempotency.Attempt{}
	}
	return idempotency.Attempt(raw)
}

func (d *idempotencyDecoder) duration(us uint64) time.Duration {
	if us > uint64(idempotency.MaxTimeLeft.Microseconds()) {
		d.invalid = true
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

func (d *idempotencyDecoder) group(in *api.KeeperGroup) *idempotency.Record {
	if in == nil {
		return nil
	}
	record, err := idempotency.DecodeRecord(in.GetRecord())
	d.check(err == nil)
	return record
}

func (d *idempotencyDecoder) answer(in *api.StoredAnswer) *idempotency.Answer {
	if in == nil {
		return nil
	}
	d.check(in.GetStatus() >= 100 && in.GetStatus() <= 999 && len(in.GetBody()) <= idempotency.MaxAnswerBody &&
		len(in.GetHeader()) <= idempotencyMaxHeaderFields && len(in.GetUpstream()) <= idempotencyMaxNameBytes)
	answer := &idempotency.Answer{
		Status: int(in.GetStatus()), Body: in.GetBody(), Upstream: in.GetUpstream(),
		Header: make(map[string][]string, len(in.GetHeader())),
	}
	for _, field := range in.GetHeader() {
		answer.Header[d.name(field.GetName())] = field.GetValues()
	}
	d.check(answer.Valid())
	return answer
}

func (d *idempotencyDecoder) item(in *api.HandOverItem) idempotency.HandOverItem {
	item := idempotency.HandOverItem{
		Key: d.key(in.GetKey()), State: uint8(min(in.GetState(), 255)), Holder: d.attempt(in.GetHolder()),
		TimeLeft: d.duration(in.GetTimeLeftUs()), Answer: d.answer(in.GetAnswer()),
	}
	for _, raw := range in.GetFinished() {
		item.NotRun = append(item.NotRun, d.attempt(raw))
	}
	d.check(item.Valid())
	return item
}

func (d *idempotencyDecoder) chunk(in *api.HandOverRequest) idempotency.HandOverChunk {
	d.check(len(in.GetItems()) <= idempotencyMaxChunkItems)
	chunk := idempotency.HandOverChunk{
		Service: d.name(in.GetService()), From: d.identity(in.GetFrom()), To: d.identity(in.GetTo()),
		Epoch: in.GetEpoch(), TargetEpoch: in.GetMeant(), Number: in.GetNumber(), Last: in.GetLast(),
		Horizon: in.GetHorizonMs(),
	}
	if d.invalid {
		return chunk
	}
	for _, item := range in.GetItems() {
		chunk.Items = append(chunk.Items, d.item(item))
	}
	return chunk
}

func (d *idempotencyDecoder) sealReply(in *api.SealResponse) idempotency.SealReply {
	reply := idempotency.SealReply{Sealed: in.GetSealed(), LatestIssued: in.GetHighestMs(), Group: d.group(in.GetGroup())}
	d.check(len(in.GetPromises()) <= idempotency.MaxMembers)
	for _, p := range in.GetPromises() {
		reply.Promises = append(reply.Promises, idempotency.Promise{
			Owner: d.name(p.GetOwner()), Remaining: d.duration(p.GetRemainingUs()), Ceiling: p.GetCeilingMs(),
		})
	}
	return reply
}

func idempotencyIdentityToWire(id idempotency.Identity) *api.Identity {
	return &api.Identity{Id: id.ID, Incarnation: id.Incarnation}
}

func idempotencyGroupToWire(record *idempotency.Record) *api.KeeperGroup {
	if record == nil {
		return nil
	}
	return &api.KeeperGroup{Record: record.Encode()}
}

func idempotencyAnswerToWire(answer *idempotency.Answer) *api.StoredAnswer {
	if answer == nil {
		return nil
	}
	out := &api.StoredAnswer{Status: uint32(answer.Status), Body: answer.Body, Upstream: answer.Upstream}
	for name, values := range answer.Header {
		out.Header = append(out.Header, &api.HeaderField{Name: name, Values: values})
	}
	return out
}

// microsecondsRoundedUp converts d to microseconds and rounds up, so that the time left of a promise is never
// understated.
func microsecondsRoundedUp(d time.Duration) uint64 {
	return uint64((max(0, d) + time.Microsecond - 1) / time.Microsecond)
}

func idempotencyChunkToWire(c idempotency.HandOverChunk) *api.HandOverRequest {
	out := &api.HandOverRequest{
		Service: c.Service, From: idempotencyIdentityToWire(c.From), To: idempotencyIdentityToWire(c.To),
		Epoch: c.Epoch, Meant: c.TargetEpoch, Number: c.Number, Last: c.Last, HorizonMs: c.Horizon,
	}
	for _, item := range c.Items {
		wire := &api.HandOverItem{
			Key: []byte(item.Key), State: uint32(item.State), Holder: slices.Clone(item.Holder[:]),
			TimeLeftUs: microsecondsRoundedUp(item.TimeLeft), Answer: idempotencyAnswerToWire(item.Answer),
		}
		for _, attempt := range item.NotRun {
			wire.Finished = append(wire.Finished, slices.Clone(attempt[:]))
		}
		out.Items = append(out.Items, wire)
	}
	return out
}

func idempotencySealReplyToWire(reply idempotency.SealReply) *api.SealResponse {
	out := &api.SealResponse{Sealed: reply.Sealed, HighestMs: reply.LatestIssued, Group: idempotencyGroupToWire(reply.Group)}
	for _, p := range reply.Promises {
		out.Promises = append(out.Promises, &api.Promise{
			Owner: p.Owner, RemainingUs: microsecondsRoundedUp(p.Remaining), CeilingMs: p.Ceiling,
		})
	}
	return out
}
