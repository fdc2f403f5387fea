package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns a boot-time clock: unlike System, it also advances while the machine
// is suspended. It is used for authority that expires, which a suspended process
// must not still hold when it resumes. Its origin is the time of the call.
func BootTime() Clock {
	origin := readBootTime()
	return func() time.Duration { return readBootTime() - origin }
}

// readBootTime reads the operating system's boot-time clock.
func readBootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
