package snapshot

import (
	"fmt"

	"samphirehitch.example/samphirehitch/process/topology"
)

// KeyMismatchError reports a record whose kind and ID do not match the store key under
// which it was found.
type KeyMismatchError struct {
	Key string
	// Name is the kind/id in the record.
	Name string
}

// Error states the record and the key.
func (e *KeyMismatchError) Error() string {
	return fmt.Sprintf("record %s is stored under key %s", e.Name, e.Key)
}

// ReferenceError reports a reference to a record that does not exist or is not in
// force.
type ReferenceError struct {
	// Name is the kind/id of the missing record.
	Name string
}

// Error states the missing record.
func (e *ReferenceError) Error() string { return "refers to " + e.Name + ", which is not in force" }

// DuplicateTargetError reports that a service lists a target of another service.
type DuplicateTargetError struct {
	Target  topology.TargetID
	Service topology.ServiceID
}

// Error states the target and the service to which it belongs.
func (e *DuplicateTargetError) Error() string {
	return fmt.Sprintf("target %s belongs to service %s", e.Target, e.Service)
}
