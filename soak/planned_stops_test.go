package soak

import (
	"testing"
	"time"
)

// A daemon exits at the end of its grace period while transactions that were begun after
// the SIGTERM are still open. A statement that it has passed on then stays unanswered.
func TestPlannedStopsLeaveNoStatementUnanswered(t *testing.T) {
	runSoak(t, buildDaemon(t), Options{Seed: 1, FaultDuration: 14 * time.Second, Daemons: 5, Callers: 360, PlannedStopsOnly: true})
}

// A transaction that was begun at an owner before its SIGTERM is refused for lack of a connection.
func TestPlannedStopsCostCallersNothing(t *testing.T) {
	runSoak(t, buildDaemon(t), Options{Seed: 30201, FaultDuration: 14 * time.Second, Daemons: 6, Callers: 60, PlannedStopsOnly: true})
}
