package change

import (
	"fmt"
	"strings"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/version/record"
	"samphirehitch.example/samphirehitch/version/snapshot"
)

// Signature says who wrote a version of a record, and by which change.
type Signature struct {
	Change record.ChangeID `json:"change"`
	Author string          `json:"author"`
}

// String formats the signature for messages.
func (s Signature) String() string {
	if s.Change == "" {
		return "nobody"
	}
	return fmt.Sprintf("change %s by %s", s.Change, s.Author)
}

// ConflictError reports a record that is not at the version on which the change
// was based. The change had no effect.
type ConflictError struct {
	// Name is the record, kind/id.
	Name string
	Ours Signature
	// Base is the change that ours expected to find; empty for no record.
	Base record.ChangeID
	// Theirs is the version that was found; empty for no record.
	Theirs   Signature
	Revision store.Revision
}

// Error names both sides.
func (e *ConflictError) Error() string {
	base := "no record"
	if e.Base != "" {
		base = "change " + string(e.Base)
	}
	found := "no record"
	if e.Theirs.Change != "" || e.Revision != 0 {
		found = fmt.Sprintf("%s at revision %d", e.Theirs, e.Revision)
	}
	return fmt.Sprintf("record %s: conflict, not written: %s is based on %s and found %s", e.Name, e.Ours, base, found)
}

// UnsettledError reports a change of which it is not known whether it took
// effect. The same change id settles it when the change is made again.
type UnsettledError struct {
	Name   string
	Change record.ChangeID
	Err    error
}

// Error names the change.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("record %s: outcome unknown: change %s may take effect: %v", e.Name, e.Change, e.Err)
}

// Unwrap returns the last error of the store.
func (e *UnsettledError) Unwrap() error { return e.Err }

// NotFoundError reports a record that does not exist.
type NotFoundError struct{ Name string }

// Error names the record.
func (e *NotFoundError) Error() string { return "record " + e.Name + ": not found" }

// ReferencesError reports that a change would leave records that refer to what
// does not exist. Nothing was written.
type ReferencesError struct{ Rejections []snapshot.Rejection }

// Error lists the records.
func (e *ReferencesError) Error() string {
	var lines []string
	for _, rejection := range e.Rejections {
		lines = append(lines, fmt.Sprintf("%s: %v", rejection.Key, rejection.Err))
	}
	return "the change would leave records that do not take effect: " + strings.Join(lines, "; ")
}
