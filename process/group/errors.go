package group

import (
	"errors"
	"fmt"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// ErrPrimaryReplaced reports that the target is no longer primary of the commit's
// term. The outcome of the commit is unknown.
var ErrPrimaryReplaced = errors.New("primary was replaced")

// ErrNoQuorum reports that a wait ended before enough members of the group had
// responded as the wait requires. The outcome of a commit is then unknown.
var ErrNoQuorum = errors.New("no sufficient response from a majority of the group")

// WrongTargetError reports a response from another target than the one that the
// request was sent to, as happens when two members are configured with the same
// control address. If such responses counted for both members, a single target
// could form a majority.
type WrongTargetError struct {
	Operation string
	Requested topology.TargetID
	Responder topology.TargetID
}

// Error names the operation and both targets.
func (e *WrongTargetError) Error() string {
	return fmt.Sprintf("%s request to target %s: target %q responded", e.Operation, e.Requested, e.Responder)
}

// verifyResponder returns err, or a WrongTargetError if the status is not from the
// requested target.
func verifyResponder(err error, operation string, target platform.Target, status topology.Status) error {
	if err != nil || status.Target == target.ID {
		return err
	}
	return &WrongTargetError{Operation: operation, Requested: target.ID, Responder: status.Target}
}
