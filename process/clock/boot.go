package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns a clock that also counts the time in which the machine is
// suspended, unlike System. Rights that end at a moment are judged by it. Its
// origin is the moment of the call.
func Boot() Clock {
	origin := bootTime()
	return func() time.Duration { return bootTime() - origin }
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("the kernel has no boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
