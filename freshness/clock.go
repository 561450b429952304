package freshness

import (
	"math"

	"golang.org/x/sys/unix"
)

// BootTime reads CLOCK_BOOTTIME, which goes on while the machine is suspended, unlike the monotonic clock of package time, and is
// never set. A clock that cannot be read makes every proof too old.
func BootTime() Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return math.MaxInt64
	}
	return Instant(now.Nano())
}
