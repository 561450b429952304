package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration in the notation of time.ParseDuration, such as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration; write one such as \"500ms\" or \"30s\"", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Size is a number of bytes, written as a whole number with the unit B, KiB, MiB or GiB.
type Size int64

// sizeUnits is ordered from the largest unit, so that MarshalText uses the largest that divides the size, and the suffix B
// is tried last.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(string(text), unit.suffix)
		if !ok {
			continue
		}
		count, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || count < 0 || count > math.MaxInt64/unit.bytes {
			break
		}
		*s = Size(count * unit.bytes)
		return nil
	}
	return fmt.Errorf("%q is not a size; write a whole number with the unit B, KiB, MiB or GiB, such as \"64MiB\"", text)
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) {
	for _, unit := range sizeUnits {
		if int64(s) >= unit.bytes && int64(s)%unit.bytes == 0 {
			return []byte(strconv.FormatInt(int64(s)/unit.bytes, 10) + unit.suffix), nil
		}
	}
	return []byte(strconv.FormatInt(int64(s), 10) + "B"), nil
}
