package peerrpc

import (
	"math"
	"time"

	pb "github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1"
	"github.com/magnoliawharf/magnoliawharf/datacentre"
	"github.com/magnoliawharf/magnoliawharf/instance"
)

func memberSenderToWire(s datacentre.Sender) *pb.MemberSender {
	return &pb.MemberSender{
		Id: string(s.ID), Incarnation: s.Incarnation, StateVersion: s.StateVersion, BundleVersion: s.BundleVersion,
	}
}

func memberSenderFromWire(s *pb.MemberSender) datacentre.Sender {
	return datacentre.Sender{
		ID: instance.ID(s.GetId()), Incarnation: s.GetIncarnation(),
		StateVersion: s.GetStateVersion(), BundleVersion: s.GetBundleVersion(),
	}
}

func memberRecordToWire(r instance.Record) *pb.InstanceRecord {
	return &pb.InstanceRecord{
		Id: string(r.ID), Incarnation: r.Incarnation, DataCentre: r.DataCentre, Region: r.Region,
		CallerAddr: r.CallerAddr, PeerAddr: r.PeerAddr, Service: r.Service,
		State: uint32(r.State), Slots: uint32(r.Slots), StateVersion: r.StateVersion,
	}
}

func memberRecordFromWire(r *pb.InstanceRecord) instance.Record {
	return instance.Record{
		ID: instance.ID(r.GetId()), Incarnation: r.GetIncarnation(), DataCentre: r.GetDataCentre(), Region: r.GetRegion(),
		CallerAddr: r.GetCallerAddr(), PeerAddr: r.GetPeerAddr(), Service: r.GetService(),
		// A value that does not fit into a byte becomes an unknown state, which the receiver refuses.
		State: instance.State(min(r.GetState(), math.MaxUint8)), Slots: int(r.GetSlots()), StateVersion: r.GetStateVersion(),
	}
}

func memberRecordsToWire(records []instance.Record) []*pb.InstanceRecord {
	return memberConvertSlice(records, memberRecordToWire)
}

func memberRecordsFromWire(records []*pb.InstanceRecord) []instance.Record {
	return memberConvertSlice(records, memberRecordFromWire)
}

func memberContactsToWire(contacts []datacentre.Contact) []*pb.DataCentreContact {
	return memberConvertSlice(contacts, func(c datacentre.Contact) *pb.DataCentreContact {
		return &pb.DataCentreContact{DataCentre: c.DataCentre, AgeSeconds: uint32(c.Age / time.Second)}
	})
}

func memberContactsFromWire(contacts []*pb.DataCentreContact) []datacentre.Contact {
	return memberConvertSlice(contacts, func(c *pb.DataCentreContact) datacentre.Contact {
		return datacentre.Contact{DataCentre: c.GetDataCentre(), Age: time.Duration(c.GetAgeSeconds()) * time.Second}
	})
}

func memberPushToWire(req datacentre.PushRequest) *pb.PushRequest {
	return &pb.PushRequest{
		Sender: memberSenderToWire(req.Sender), Records: memberRecordsToWire(req.Records),
		Broadcasts: memberConvertSlice(req.Broadcasts, func(b datacentre.Broadcast) *pb.MemberBroadcast {
			return &pb.MemberBroadcast{Topic: b.Topic, Id: b.ID, From: string(b.From), DataCentre: b.DataCentre, Payload: b.Payload}
		}),
		Offers: memberConvertSlice(req.Offers, func(o datacentre.Offer) *pb.MemberOffer {
			return &pb.MemberOffer{Topic: o.Topic, Id: o.ID}
		}),
	}
}

func memberPushFromWire(req *pb.PushRequest) datacentre.PushRequest {
	return datacentre.PushRequest{
		Sender: memberSenderFromWire(req.GetSender()), Records: memberRecordsFromWire(req.GetRecords()),
		Broadcasts: memberConvertSlice(req.GetBroadcasts(), func(b *pb.MemberBroadcast) datacentre.Broadcast {
			return datacentre.Broadcast{
				Topic: b.GetTopic(), ID: b.GetId(), From: instance.ID(b.GetFrom()), DataCentre: b.GetDataCentre(), Payload: b.GetPayload(),
			}
		}),
		Offers: memberConvertSlice(req.GetOffers(), func(o *pb.MemberOffer) datacentre.Offer {
			return datacentre.Offer{Topic: o.GetTopic(), ID: o.GetId()}
		}),
	}
}

func memberIndexesToWire(indexes []int) []uint32 {
	return memberConvertSlice(indexes, func(index int) uint32 { return uint32(index) })
}

func memberIndexesFromWire(indexes []uint32) []int {
	return memberConvertSlice(indexes, func(index uint32) int { return int(index) })
}

func memberSyncResponseToWire(r datacentre.SyncResponse) *pb.SyncResponse {
	out := &pb.SyncResponse{
		Sender: memberSenderToWire(r.Sender), Root: r.Root, Contacts: memberContactsToWire(r.Contacts), Behind: r.Behind,
		Digests: memberConvertSlice(r.Digests, func(d datacentre.Digest) *pb.DataCentreDigest {
			return &pb.DataCentreDigest{DataCentre: d.DataCentre, Digest: d.Digest}
		}),
	}
	if r.Newer != nil {
		out.Newer = memberRecordToWire(*r.Newer)
	}
	return out
}

func memberSyncResponseFromWire(r *pb.SyncResponse) datacentre.SyncResponse {
	out := datacentre.SyncResponse{
		Sender: memberSenderFromWire(r.GetSender()), Root: r.GetRoot(), Contacts: memberContactsFromWire(r.GetContacts()), Behind: r.GetBehind(),
		Digests: memberConvertSlice(r.GetDigests(), func(d *pb.DataCentreDigest) datacentre.Digest {
			return datacentre.Digest{DataCentre: d.GetDataCentre(), Digest: d.GetDigest()}
		}),
	}
	if r.GetNewer() != nil {
		newer := memberRecordFromWire(r.GetNewer())
		out.Newer = &newer
	}
	return out
}

// memberConvertSlice converts each item of the list. It returns nil for an empty list.
func memberConvertSlice[From, To any](list []From, convert func(From) To) []To {
	if len(list) == 0 {
		return nil
	}
	out := make([]To, len(list))
	for i, item := range list {
		out[i] = convert(item)
	}
	return out
}
