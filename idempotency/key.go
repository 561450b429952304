package idempotency

import (
	"errors"
	"time"

	"github.com/google/uuid"
)

// Key is an idempotency key: the 16 bytes of a UUIDv7, which carries the time of its issue.
type Key string

// Attempt identifies one call that asks to run a key: 16 random bytes chosen by the entry node. It
// stays the same when a claim is repeated because its reply was lost.
type Attempt [16]byte

// KeySize is the length of a Key in bytes.
const KeySize = 16

// ErrInvalidKey is returned for a text that is not a UUIDv7.
var ErrInvalidKey = errors.New("idempotency key is not a UUIDv7")

// ParseKey reads a key in the textual form of a UUIDv7.
func ParseKey(text string) (Key, error) {
	parsed, err := uuid.Parse(text)
	if err != nil {
		return "", ErrInvalidKey
	}
	key := Key(parsed[:])
	if !key.Valid() {
		return "", ErrInvalidKey
	}
	return key, nil
}

// NewAttempt returns a random attempt ID.
func NewAttempt() Attempt { return Attempt(uuid.New()) }

// Valid reports whether the key is a UUIDv7 of the RFC 9562 variant.
func (k Key) Valid() bool {
	return len(k) == KeySize && k[6]>>4 == 7 && k[8]>>6 == 2
}

// Issued returns the time of issue in milliseconds since the Unix epoch.
func (k Key) Issued() int64 {
	var ms int64
	for i := range 6 {
		ms = ms<<8 | int64(k[i])
	}
	return ms
}

// Instant is one reading of both clocks of a process. Mono never steps; Wall may.
type Instant struct {
	Mono time.Duration
	Wall time.Time
}

// Clock reads both clocks of a process.
type Clock struct{ start time.Time }

// clockOffset is the first value of Mono: well above 0, so that the zero value of a time is long past.
const clockOffset = time.Hour

// NewClock returns a clock whose Mono counts from now on.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now reads both clocks.
func (c Clock) Now() Instant {
	now := time.Now()
	return Instant{Mono: now.Sub(c.start) + clockOffset, Wall: now.Round(0)}
}

// maxElapsed returns the longest time that can have passed since then: a suspended process may find
// one of its clocks stopped, but not both.
func (i Instant) maxElapsed(then Instant) time.Duration {
	return max(i.Mono-then.Mono, i.Wall.Sub(then.Wall))
}

// divergence returns how far the two clocks have drifted apart since then.
func (i Instant) divergence(then Instant) time.Duration {
	return ((i.Mono - then.Mono) - i.Wall.Sub(then.Wall)).Abs()
}
