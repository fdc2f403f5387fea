package change

import (
	"fmt"
	"strings"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/version/record"
	"samphirehitch.example/samphirehitch/version/snapshot"
)

// Attribution identifies the change that wrote a version of a record and its author.
type Attribution struct {
	Change record.ChangeID `json:"change"`
	Author string          `json:"author"`
}

// String returns the attribution as printed in messages.
func (a Attribution) String() string {
	if a.Change == "" {
		return "nobody"
	}
	return fmt.Sprintf("change %s by %s", a.Change, a.Author)
}

// ConflictError reports that the current version of a record is not the base of the
// change. The change had no effect.
type ConflictError struct {
	// Name is the kind/id of the record.
	Name string
	// Ours identifies the rejected change.
	Ours Attribution
	// Base is the change that wrote the expected version. It is empty when the record
	// was expected not to exist.
	Base record.ChangeID
	// Theirs identifies the change that wrote the current version. It is empty when the
	// record does not exist or cannot be decoded.
	Theirs Attribution
	// Revision is the revision of the current version, or zero when the record does not
	// exist.
	Revision store.Revision
}

// Error states both changes and the expected version.
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

// OutcomeUnknownError reports that a change may or may not have taken effect, or may
// still do so. Making the change again with the same change ID resolves the outcome.
type OutcomeUnknownError struct {
	// Name is the kind/id of the record.
	Name   string
	Change record.ChangeID
	// Err is the last error of the store.
	Err error
}

// Error states the record, the change and the last error of the store.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("record %s: outcome unknown: change %s may take effect: %v", e.Name, e.Change, e.Err)
}

// Unwrap returns the last error of the store.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// NotFoundError reports that the record Name, a kind/id, does not exist.
type NotFoundError struct{ Name string }

// Error states the record.
func (e *NotFoundError) Error() string { return "record " + e.Name + ": not found" }

// DanglingReferenceError reports records that daemons would reject after a change,
// mostly because they refer to records that do not exist. Nothing was written.
type DanglingReferenceError struct{ Rejections []snapshot.Rejection }

// Error lists the records with the reasons.
func (e *DanglingReferenceError) Error() string {
	var lines []string
	for _, rejection := range e.Rejections {
		lines = append(lines, fmt.Sprintf("%s: %v", rejection.Key, rejection.Err))
	}
	return "the change would leave records that do not take effect: " + strings.Join(lines, "; ")
}
