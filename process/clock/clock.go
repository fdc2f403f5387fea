// Package clock gives drivers the time as a monotonic duration. Coordinators
// never read a clock: they are handed the time with each event.
package clock

import "time"

// Clock returns the time since an arbitrary fixed origin. It never runs back
// and goes on while the process is stopped.
type Clock func() time.Duration

// System returns a clock on the operating system's monotonic clock whose origin
// is the moment of the call.
func System() Clock {
	origin := time.Now()
	return func() time.Duration { return time.Since(origin) }
}
