package hvledger

import (
	"time"

	"golang.org/x/sys/unix"
)

// now reads a clock that goes on while the machine is suspended, which the
// monotonic clock of the runtime does not.
func now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().Round(0)
	}
	return time.Unix(ts.Unix())
}
