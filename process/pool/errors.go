package pool

import (
	"errors"
	"fmt"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// ErrClosed reports that the pool is closed. Nothing was sent to the target.
var ErrClosed = errors.New("acquire connection: pool closed")

// BusyError reports that no connection became free within the bounds of the
// queue. Nothing was sent to the target.
type BusyError struct {
	Target topology.TargetID
	Waited time.Duration
}

// Error implements error.
func (b *BusyError) Error() string {
	return fmt.Sprintf("acquire connection to %s: busy after %v", b.Target, b.Waited)
}

// DialError reports that no connection to the target is open and the latest
// dial failed. Nothing was sent to the target.
type DialError struct {
	Target topology.TargetID
	Err    error
}

// Error implements error.
func (d *DialError) Error() string {
	return fmt.Sprintf("acquire connection to %s: dial: %v", d.Target, d.Err)
}

// Unwrap returns the dial's error.
func (d *DialError) Unwrap() error { return d.Err }
