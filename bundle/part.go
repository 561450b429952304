package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// Hash is the SHA-256 of a part or of a manifest. The zero Hash stands for no part.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return ErrMalformed.New("hash of %d characters", len(text))
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// HashPart returns the content hash of an encoded part.
func HashPart(part []byte) Hash { return sha256.Sum256(part) }

// partForm is the canonical form of one contract: JSON with the fields in this order, no white space,
// and durations in milliseconds. The bytes are signed by way of their hash, so fields are only ever
// added, at the end and left out when zero.
type partForm struct {
	Service        string      `json:"service"`
	Hosts          []string    `json:"hosts,omitempty"`
	Classes        []classForm `json:"classes"`
	Routes         []routeForm `json:"routes"`
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

type classForm struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
	Long     bool   `json:"long,omitempty"`
	MayWait  bool   `json:"may_wait,omitempty"`
	MaxQueue int    `json:"max_queue"`
	MaxWait  millis `json:"max_wait_ms"`
}

type routeForm struct {
	Name       string `json:"name"`
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"path_prefix"`
	Class      string `json:"class"`
	Rule       Rule   `json:"rule"`
	Timeout    millis `json:"timeout_ms"`
	Hedge      bool   `json:"hedge,omitempty"`
}

// millis is a duration in whole milliseconds.
type millis int64

func toMillis(d time.Duration) millis { return millis(d / time.Millisecond) }

// maxMillis bounds a duration before it is converted, so that it cannot overflow.
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
	form := partForm{
		Service: c.Service, Hosts: c.Hosts, ProbePerSecond: c.ProbePerSecond,
		ReportMaxAge: toMillis(c.ReportMaxAge), ColdStart: toMillis(c.ColdStart), Aging: toMillis(c.Aging),
		KeyLifetime: toMillis(c.KeyLifetime), ClockMargin: toMillis(c.ClockMargin), StoreOutage: toMillis(c.StoreOutage),
		RetryRatio: c.RetryRatio, LongShare: c.LongShare,
	}
	for _, class := range c.Classes {
		form.Classes = append(form.Classes, classForm{
			class.Name, class.Priority, class.Long, class.MayWait, class.MaxQueue, toMillis(class.MaxWait),
		})
	}
	for _, r := range c.Routes {
		form.Routes = append(form.Routes, routeForm{r.Name, r.Method, r.PathPrefix, r.Class, r.Rule, toMillis(r.Timeout), r.Hedge})
	}
	part, err := json.Marshal(form)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "encode part of %s", c.Service)
	}
	if len(part) > MaxPart {
		return nil, ErrTooLarge.New("part of %s has %d bytes, at most %d allowed", c.Service, len(part), MaxPart)
	}
	return part, nil
}

// DecodePart returns the valid contract of a canonical encoding. Bytes that are not canonical are
// refused, so that a contract has exactly one hash.
func DecodePart(part []byte) (*Contract, error) {
	if len(part) > MaxPart {
		return nil, ErrTooLarge.New("part of %d bytes, at most %d allowed", len(part), MaxPart)
	}
	decoder := json.NewDecoder(bytes.NewReader(part))
	decoder.DisallowUnknownFields()
	var form partForm
	if err := decoder.Decode(&form); err != nil {
		return nil, ErrMalformed.Wrap(err, "decode part")
	}
	c := form.contract()
	if err := c.Validate(); err != nil {
		return nil, err
	}
	again, err := encodePart(c)
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(again, part) {
		return nil, ErrMalformed.New("part of %s is not in canonical form", c.Service)
	}
	return c, nil
}

func (f *partForm) contract() *Contract {
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
