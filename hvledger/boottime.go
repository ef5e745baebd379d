package hvledger

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootNow reads CLOCK_BOOTTIME, which keeps counting while the machine is
// suspended; the monotonic clock of the Go runtime stops.
func bootNow() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().Round(0)
	}
	return time.Unix(ts.Unix())
}
