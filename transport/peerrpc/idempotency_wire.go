package peerrpc

import (
	"errors"
	"slices"
	"time"

	api "github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1"
	"github.com/magnoliawharf/magnoliawharf/idempotency"
)

const (
	idempotencyMaxName   = 256
	idempotencyMaxFields = 64
	idempotencyMaxItems  = 1024
)

var errIdempotencyMessage = errors.New("idempotency message is out of bounds")

// idempotencyReader translates what a peer sent and keeps whether any part was out of bounds.
type idempotencyReader struct{ bad bool }

func (r *idempotencyReader) err() error {
	if r.bad {
		return errIdempotencyMessage
	}
	return nil
}

func (r *idempotencyReader) check(ok bool) {
	if !ok {
		r.bad = true
	}
}

func (r *idempotencyReader) name(text string) string {
	r.check(text != "" && len(text) <= idempotencyMaxName)
	return text
}

func (r *idempotencyReader) identity(in *api.Identity) idempotency.Identity {
	return idempotency.Identity{ID: r.name(in.GetId()), Incarnation: in.GetIncarnation()}
}

func (r *idempotencyReader) key(raw []byte) idempotency.Key {
	key := idempotency.Key(raw)
	r.check(key.Valid())
	return key
}

func (r *idempotencyReader) attempt(raw []byte) idempotency.Attempt {
	if len(raw) != len(idempotency.Attempt{}) {
		r.bad = true
		return idempotency.Attempt{}
	}
	return idempotency.Attempt(raw)
}

func (r *idempotencyReader) duration(us uint64) time.Duration {
	if us > uint64(idempotency.MaxTimeLeft.Microseconds()) {
		r.bad = true
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

func (r *idempotencyReader) group(in *api.KeeperGroup) *idempotency.Record {
	if in == nil {
		return nil
	}
	record, err := idempotency.DecodeRecord(in.GetRecord())
	r.check(err == nil)
	return record
}

func (r *idempotencyReader) answer(in *api.StoredAnswer) *idempotency.Answer {
	if in == nil {
		return nil
	}
	r.check(in.GetStatus() >= 100 && in.GetStatus() <= 999 && len(in.GetBody()) <= idempotency.MaxAnswerBody &&
		len(in.GetHeader()) <= idempotencyMaxFields && len(in.GetUpstream()) <= idempotencyMaxName)
	answer := &idempotency.Answer{
		Status: int(in.GetStatus()), Body: in.GetBody(), Upstream: in.GetUpstream(),
		Header: make(map[string][]string, len(in.GetHeader())),
	}
	for _, field := range in.GetHeader() {
		answer.Header[r.name(field.GetName())] = field.GetValues()
	}
	r.check(answer.Valid())
	return answer
}

func (r *idempotencyReader) item(in *api.HandOverItem) idempotency.Item {
	item := idempotency.Item{
		Key: r.key(in.GetKey()), State: uint8(min(in.GetState(), 255)), Holder: r.attempt(in.GetHolder()),
		TimeLeft: r.duration(in.GetTimeLeftUs()), Answer: r.answer(in.GetAnswer()),
	}
	for _, raw := range in.GetFinished() {
		item.Finished = append(item.Finished, r.attempt(raw))
	}
	r.check(item.Valid())
	return item
}

func (r *idempotencyReader) chunk(in *api.HandOverRequest) idempotency.Chunk {
	r.check(len(in.GetItems()) <= idempotencyMaxItems)
	chunk := idempotency.Chunk{
		Service: r.name(in.GetService()), From: r.identity(in.GetFrom()), To: r.identity(in.GetTo()),
		Epoch: in.GetEpoch(), Meant: in.GetMeant(), Number: in.GetNumber(), Last: in.GetLast(),
		Horizon: in.GetHorizonMs(),
	}
	if r.bad {
		return chunk
	}
	for _, item := range in.GetItems() {
		chunk.Items = append(chunk.Items, r.item(item))
	}
	return chunk
}

func (r *idempotencyReader) sealReply(in *api.SealResponse) idempotency.SealReply {
	reply := idempotency.SealReply{Sealed: in.GetSealed(), Highest: in.GetHighestMs(), Group: r.group(in.GetGroup())}
	r.check(len(in.GetPromises()) <= idempotency.MaxMembers)
	for _, p := range in.GetPromises() {
		reply.Promises = append(reply.Promises, idempotency.Promise{
			Owner: r.name(p.GetOwner()), Remaining: r.duration(p.GetRemainingUs()), Ceiling: p.GetCeilingMs(),
		})
	}
	return reply
}

func idempotencyIdentity(id idempotency.Identity) *api.Identity {
	return &api.Identity{Id: id.ID, Incarnation: id.Incarnation}
}

func idempotencyGroup(record *idempotency.Record) *api.KeeperGroup {
	if record == nil {
		return nil
	}
	return &api.KeeperGroup{Record: record.Encode()}
}

func idempotencyAnswer(answer *idempotency.Answer) *api.StoredAnswer {
	if answer == nil {
		return nil
	}
	out := &api.StoredAnswer{Status: uint32(answer.Status), Body: answer.Body, Upstream: answer.Upstream}
	for name, values := range answer.Header {
		out.Header = append(out.Header, &api.HeaderField{Name: name, Values: values})
	}
	return out
}

// idempotencyMicros rounds up, so that a promise never looks shorter than it is.
func idempotencyMicros(d time.Duration) uint64 {
	return uint64((max(0, d) + time.Microsecond - 1) / time.Microsecond)
}

func idempotencyChunk(c idempotency.Chunk) *api.HandOverRequest {
	out := &api.HandOverRequest{
		Service: c.Service, From: idempotencyIdentity(c.From), To: idempotencyIdentity(c.To),
		Epoch: c.Epoch, Meant: c.Meant, Number: c.Number, Last: c.Last, HorizonMs: c.Horizon,
	}
	for _, item := range c.Items {
		wire := &api.HandOverItem{
			Key: []byte(item.Key), State: uint32(item.State), Holder: slices.Clone(item.Holder[:]),
			TimeLeftUs: idempotencyMicros(item.TimeLeft), Answer: idempotencyAnswer(item.Answer),
		}
		for _, attempt := range item.Finished {
			wire.Finished = append(wire.Finished, slices.Clone(attempt[:]))
		}
		out.Items = append(out.Items, wire)
	}
	return out
}

func idempotencySealResponse(reply idempotency.SealReply) *api.SealResponse {
	out := &api.SealResponse{Sealed: reply.Sealed, HighestMs: reply.Highest, Group: idempotencyGroup(reply.Group)}
	for _, p := range reply.Promises {
		out.Promises = append(out.Promises, &api.Promise{
			Owner: p.Owner, RemainingUs: idempotencyMicros(p.Remaining), CeilingMs: p.Ceiling,
		})
	}
	return out
}
