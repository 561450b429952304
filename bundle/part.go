package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// Hash is the SHA-256 hash of a part or of a manifest. The zero Hash means that there is no part.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return ErrMalformed.New("hash has %d characters, want 64", len(text))
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// HashPart returns the content hash of an encoded part.
func HashPart(part []byte) Hash { return sha256.Sum256(part) }

// partJSON is the canonical encoding of one contract: JSON with the fields in this order, no white space, and durations
// in milliseconds. The signature covers the hash of these bytes, so new fields may only be added at the end and must be
// omitted when zero.
type partJSON struct {
	Service        string      `json:"service"`
	Hosts          []string    `json:"hosts,omitempty"`
	Classes        []classJSON `json:"classes"`
	Routes         []routeJSON `json:"routes"`
	ProbePerSecond float64     `json:"probe_per_second"`
	ReportMaxAge   millis      `json:"report_max_age_ms"`
	ColdStart      millis      `json:"cold_start_ms"`
	Aging          millis      `json:"aging_ms"`
	KeyLifetime    millis      `json:"key_lifetime_ms"`
	ClockMargin    millis      `json:"clock_margin_ms"`
	StoreOutage    millis      `json:"store_outage_ms"`
	RetryRatio     float64     `json:"retry_ratio"`
	LongShare      float64     `json:"long_share"`
}

type classJSON struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
	Long     bool   `json:"long,omitempty"`
	MayWait  bool   `json:"may_wait,omitempty"`
	MaxQueue int    `json:"max_queue"`
	MaxWait  millis `json:"max_wait_ms"`
}

type routeJSON struct {
	Name       string `json:"name"`
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"path_prefix"`
	Class      string `json:"class"`
	Rule       Rule   `json:"rule"`
	Timeout    millis `json:"timeout_ms"`
	Hedge      bool   `json:"hedge,omitempty"`
}

// millis is a duration in milliseconds.
type millis int64

func toMillis(d time.Duration) millis { return millis(d / time.Millisecond) }

// maxMillis limits a decoded duration, so that its conversion to time.Duration cannot overflow.
const maxMillis = millis(1 << 40)

func (m millis) duration() time.Duration {
	return time.Duration(min(max(m, -maxMillis), maxMillis)) * time.Millisecond
}

// EncodePart returns the canonical encoding of a valid contract.
func EncodePart(c *Contract) ([]byte, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return encodePart(c)
}

func encodePart(c *Contract) ([]byte, error) {
	encoded := partJSON{
		Service: c.Service, Hosts: c.Hosts, ProbePerSecond: c.ProbePerSecond,
		ReportMaxAge: toMillis(c.ReportMaxAge), ColdStart: toMillis(c.ColdStart), Aging: toMillis(c.Aging),
		KeyLifetime: toMillis(c.KeyLifetime), ClockMargin: toMillis(c.ClockMargin), StoreOutage: toMillis(c.StoreOutage),
		RetryRatio: c.RetryRatio, LongShare: c.LongShare,
	}
	for _, class := range c.Classes {
		encoded.Classes = append(encoded.Classes, classJSON{
			class.Name, class.Priority, class.Long, class.MayWait, class.MaxQueue, toMillis(class.MaxWait),
		})
	}
	for _, r := range c.Routes {
		encoded.Routes = append(encoded.Routes, routeJSON{r.Name, r.Method, r.PathPrefix, r.Class, r.Rule, toMillis(r.Timeout), r.Hedge})
	}
	part, err := json.Marshal(encoded)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "encode part of %s", c.Service)
	}
	if len(part) > MaxPartBytes {
		return nil, ErrTooLarge.New("part of %s has %d bytes, at most %d allowed", c.Service, len(part), MaxPartBytes)
	}
	return part, nil
}

// DecodePart decodes and validates a contract. It rejects encodings that are not canonical, so that a contract has
// exactly one hash.
func DecodePart(part []byte) (*Contract, error) {
	if len(part) > MaxPartBytes {
		return nil, ErrTooLarge.New("part has %d bytes, at most %d allowed", len(part), MaxPartBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(part))
	decoder.DisallowUnknownFields()
	var decoded partJSON
	if err := decoder.Decode(&decoded); err != nil {
		return nil, ErrMalformed.Wrap(err, "decode part")
	}
	c := decoded.contract()
	if err := c.Validate(); err != nil {
		return nil, err
	}
	reencoded, err := encodePart(c)
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(reencoded, part) {
		return nil, ErrMalformed.New("part of %s is not in canonical form", c.Service)
	}
	return c, nil
}

func (f *partJSON) contract() *Contract {
	c := &Contract{
		Service: f.Service, Hosts: f.Hosts, ProbePerSecond: f.ProbePerSecond,
		ReportMaxAge: f.ReportMaxAge.duration(), ColdStart: f.ColdStart.duration(), Aging: f.Aging.duration(),
		KeyLifetime: f.KeyLifetime.duration(), ClockMargin: f.ClockMargin.duration(), StoreOutage: f.StoreOutage.duration(),
		RetryRatio: f.RetryRatio, LongShare: f.LongShare,
		Classes: make([]Class, len(f.Classes)), Routes: make([]Route, len(f.Routes)),
	}
	for i, class := range f.Classes {
		c.Classes[i] = Class{class.Name, class.Priority, class.Long, class.MayWait, class.MaxQueue, class.MaxWait.duration()}
	}
	for i, r := range f.Routes {
		c.Routes[i] = Route{r.Name, r.Method, r.PathPrefix, r.Class, r.Rule, r.Timeout.duration(), r.Hedge}
	}
	return c
}
