package datacentre

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

// Bounds of what a peer may send.
const (
	maxName        = 128     // bytes of an ID, address or name
	maxSlots       = 1 << 16 // slots of one upstream
	maxDataCentres = 256     // data centres, and entries of digest and contact lists
	maxInstances   = 1 << 15 // records held, ten times the target
	maxRecords     = 8192    // records of one message
	maxBroadcasts  = 64      // broadcasts or offers of one message
	maxAge         = 365 * 24 * time.Hour
	// MaxPayload is the largest payload of a broadcast, in bytes.
	MaxPayload = 16 << 10
	// buckets is the number of parts in which a data centre is compared by a Pull. With 188 members
	// a part has 6 records, so that one missed change costs about 700 bytes and not 20 KB.
	buckets = 32
)

var namespace = errorx.NewNamespace("datacentre")

// Types of errors of this package.
var (
	// ErrInvalid says that a peer sent a message with a value out of bounds.
	ErrInvalid = namespace.NewType("invalid_message")
	// ErrUnreachable says that no peer answered.
	ErrUnreachable = namespace.NewType("unreachable", errorx.Temporary())
	// ErrTooLarge says that the payload of a broadcast is larger than MaxPayload.
	ErrTooLarge = namespace.NewType("too_large")
)

func validName(name string) bool { return name != "" && len(name) <= maxName }

func (s Sender) validate() error {
	if !validName(string(s.ID)) || s.Incarnation == 0 {
		return ErrInvalid.New("sender %.32q, incarnation %d", s.ID, s.Incarnation)
	}
	return nil
}

func validateRecord(r instance.Record) error {
	switch {
	case !validName(string(r.ID)), r.Incarnation == 0, !validName(r.DataCentre), !validName(r.PeerAddr):
		return ErrInvalid.New("record of %.32q: field missing or too long", r.ID)
	case len(r.Region) > maxName, len(r.CallerAddr) > maxName, len(r.Service) > maxName:
		return ErrInvalid.New("record of %.32q: field too long", r.ID)
	case !r.State.Valid(), r.Slots < 0, r.Slots > maxSlots:
		return ErrInvalid.New("record of %.32q: state or slots out of range", r.ID)
	}
	return nil
}

func validateRecords(records []instance.Record) error {
	if len(records) > maxRecords {
		return ErrInvalid.New("%d records", len(records))
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
		return ErrInvalid.New("%d contacts", len(contacts))
	}
	for _, c := range contacts {
		if !validName(c.DataCentre) || c.Age < 0 || c.Age > maxAge {
			return ErrInvalid.New("contact with %.32q", c.DataCentre)
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
		return ErrInvalid.New("%d digests", len(r.Digests))
	}
	for _, d := range r.Digests {
		if !validName(d.DataCentre) {
			return ErrInvalid.New("digest of data centre %.32q", d.DataCentre)
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
		return ErrInvalid.New("%d broadcasts, %d offers", len(r.Broadcasts), len(r.Offers))
	}
	for _, b := range r.Broadcasts {
		if !validName(b.Topic) || !validName(b.ID) || !validName(string(b.From)) || !validName(b.DataCentre) || len(b.Payload) > MaxPayload {
			return ErrInvalid.New("broadcast of topic %.32q", b.Topic)
		}
	}
	for _, o := range r.Offers {
		if !validName(o.Topic) || !validName(o.ID) {
			return ErrInvalid.New("offer of topic %.32q", o.Topic)
		}
	}
	return validateRecords(r.Records)
}

func (r PushResponse) validate(offers int) error {
	if len(r.Wanted) > offers {
		return ErrInvalid.New("%d offers wanted of %d", len(r.Wanted), offers)
	}
	for _, index := range r.Wanted {
		if index < 0 || index >= offers {
			return ErrInvalid.New("offer %d wanted of %d", index, offers)
		}
	}
	return r.Sender.validate()
}

func (r PullRequest) validate() error {
	if !validName(r.DataCentre) || (len(r.Buckets) != 0 && len(r.Buckets) != buckets) {
		return ErrInvalid.New("pull of %.32q with %d buckets", r.DataCentre, len(r.Buckets))
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
		return ErrInvalid.New("ping of %.32q for %s", r.Target, r.Timeout)
	}
	return r.Sender.validate()
}
