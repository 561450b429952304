package datacentre

import (
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

// Limits on what peers may send.
const (
	maxNameLength  = 128     // bytes of an ID, address or name
	maxSlots       = 1 << 16 // slots of one upstream
	maxDataCentres = 256     // data centres, and entries of digest and contact lists
	maxInstances   = 1 << 15 // records stored, ten times the designed fleet size
	maxRecords     = 8192    // records of one message
	maxBroadcasts  = 64      // broadcasts or offers of one message
	maxAge         = 365 * 24 * time.Hour
	// MaxPayload is the largest payload of a broadcast, in bytes.
	MaxPayload = 16 << 10
	// bucketCount is the number of buckets by which a Pull compares a data centre. With 188 members a bucket
	// has 6 records, so that one missed change costs about 700 bytes instead of 20 KB.
	bucketCount = 32
)

var namespace = errorx.NewNamespace("datacentre")

// Types of errors of this package.
var (
	// ErrInvalid is the type of errors for messages with a value out of bounds.
	ErrInvalid = namespace.NewType("invalid_message")
	// ErrUnreachable is the type of errors for nodes that did not answer or cannot answer the request.
	ErrUnreachable = namespace.NewType("unreachable", errorx.Temporary())
	// ErrTooLarge is the type of errors for broadcast payloads larger than MaxPayload.
	ErrTooLarge = namespace.NewType("too_large")
)

func validName(name string) bool { return name != "" && len(name) <= maxNameLength }

func (s Sender) validate() error {
	if !validName(string(s.ID)) || s.Incarnation == 0 {
		return ErrInvalid.New("sender %.32q with incarnation %d: ID missing or too long, or incarnation missing", s.ID, s.Incarnation)
	}
	return nil
}

func validateRecord(r instance.Record) error {
	switch {
	case !validName(string(r.ID)), r.Incarnation == 0, !validName(r.DataCentre), !validName(r.PeerAddr):
		return ErrInvalid.New("record of %.32q: field missing or too long", r.ID)
	case len(r.Region) > maxNameLength, len(r.CallerAddr) > maxNameLength, len(r.Service) > maxNameLength:
		return ErrInvalid.New("record of %.32q: field too long", r.ID)
	case !r.State.Valid(), r.Slots < 0, r.Slots > maxSlots:
		return ErrInvalid.New("record of %.32q: state or slots out of range", r.ID)
	}
	return nil
}

func validateRecords(records []instance.Record) error {
	if len(records) > maxRecords {
		return ErrInvalid.New("too many records: %d", len(records))
	}
	for _, r := range records {
		if err := validateRecord(r); err != nil {
			return err
		}
	}
	return nil
}

func validateContacts(contacts []Contact) error {
	if len(contacts) > maxDataCentres {
		return ErrInvalid.New("too many contacts: %d", len(contacts))
	}
	for _, c := range contacts {
		if !validName(c.DataCentre) || c.Age < 0 || c.Age > maxAge {
			return ErrInvalid.New("contact of data centre %.32q: name or age out of range", c.DataCentre)
		}
	}
	return nil
}

func (r SyncRequest) validate() error {
	if err := r.Sender.validate(); err != nil {
		return err
	}
	return validateContacts(r.Stale)
}

func (r SyncResponse) validate() error {
	if err := r.Sender.validate(); err != nil {
		return err
	}
	if len(r.Digests) > maxDataCentres {
		return ErrInvalid.New("too many digests: %d", len(r.Digests))
	}
	for _, d := range r.Digests {
		if !validName(d.DataCentre) {
			return ErrInvalid.New("digest of data centre %.32q: name missing or too long", d.DataCentre)
		}
	}
	if r.Newer != nil {
		if err := validateRecord(*r.Newer); err != nil {
			return err
		}
	}
	return validateContacts(r.Contacts)
}

func (r PushRequest) validate() error {
	if err := r.Sender.validate(); err != nil {
		return err
	}
	if len(r.Broadcasts) > maxBroadcasts || len(r.Offers) > maxBroadcasts {
		return ErrInvalid.New("too many broadcasts or offers: %d broadcasts, %d offers", len(r.Broadcasts), len(r.Offers))
	}
	for _, b := range r.Broadcasts {
		if !validName(b.Topic) || !validName(b.ID) || !validName(string(b.From)) || !validName(b.DataCentre) || len(b.Payload) > MaxPayload {
			return ErrInvalid.New("broadcast of topic %.32q: field missing or too long", b.Topic)
		}
	}
	for _, o := range r.Offers {
		if !validName(o.Topic) || !validName(o.ID) {
			return ErrInvalid.New("offer of topic %.32q: topic or ID missing or too long", o.Topic)
		}
	}
	return validateRecords(r.Records)
}

func (r PushResponse) validate(offers int) error {
	if len(r.Wanted)+len(r.Pending) > offers {
		return ErrInvalid.New("%d payloads requested and %d pending for %d offers", len(r.Wanted), len(r.Pending), offers)
	}
	for _, index := range slices.Concat(r.Wanted, r.Pending) {
		if index < 0 || index >= offers {
			return ErrInvalid.New("payload of offer %d requested or pending, of %d offers", index, offers)
		}
	}
	return r.Sender.validate()
}

func (r PullRequest) validate() error {
	if !validName(r.DataCentre) || (len(r.Buckets) != 0 && len(r.Buckets) != bucketCount) {
		return ErrInvalid.New("pull of data centre %.32q with %d buckets: name or number of buckets is invalid", r.DataCentre, len(r.Buckets))
	}
	return r.Sender.validate()
}

func (r PullResponse) validate() error {
	if err := r.Sender.validate(); err != nil {
		return err
	}
	return validateRecords(r.Records)
}

func (r PingViaRequest) validate() error {
	if !validName(string(r.Target)) || r.Incarnation == 0 || r.Timeout <= 0 || r.Timeout > maxPingTimeout {
		return ErrInvalid.New("indirect ping of %.32q with timeout %s: field missing or out of range", r.Target, r.Timeout)
	}
	return r.Sender.validate()
}
