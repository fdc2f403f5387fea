package snapshot

import (
	"fmt"

	"samphirehitch.example/samphirehitch/process/topology"
)

// MisplacedError reports a record whose kind and id do not match its store key.
type MisplacedError struct {
	Key string
	// Name is the kind/id that the record states.
	Name string
}

// Error names the key and the record.
func (e *MisplacedError) Error() string {
	return fmt.Sprintf("record %s stands under key %s", e.Name, e.Key)
}

// ReferenceError reports that a record names another that does not exist or is
// not in force.
type ReferenceError struct {
	// Missing is the kind/id of what is missing.
	Missing string
}

// Error names what is missing.
func (e *ReferenceError) Error() string { return "refers to " + e.Missing + ", which is not in force" }

// DuplicateTargetError reports that a service names a target of another service.
type DuplicateTargetError struct {
	Target topology.TargetID
	Owner  topology.ServiceID
}

// Error names the target and the service that has it.
func (e *DuplicateTargetError) Error() string {
	return fmt.Sprintf("target %s belongs to service %s", e.Target, e.Owner)
}
