// Package clock provides the time as a monotonic duration. Drivers read it and pass
// it to coordinators with each event; coordinators never read a clock themselves, so
// that tests control their time.
package clock

import "time"

// Clock returns the time since an arbitrary fixed origin. It never goes backwards and
// advances while the process is stopped.
type Clock func() time.Duration

// System returns a clock that reads the operating system's monotonic clock. It need
// not advance while the machine is suspended. Its origin is the time of the call.
func System() Clock {
	origin := time.Now()
	return func() time.Duration { return time.Since(origin) }
}
