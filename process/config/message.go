package config

import (
	"time"

	"samphirehitch.example/samphirehitch/process/store"
)

// Message is what instances exchange under peer.KindConfig. Exactly one field
// is set.
type Message struct {
	DigestRequest *DigestRequest `cbor:"1,keyasint,omitempty"`
	Digest        *Digest        `cbor:"2,keyasint,omitempty"`
	Push          *Delta         `cbor:"3,keyasint,omitempty"`
	PageRequest   *PageRequest   `cbor:"4,keyasint,omitempty"`
	Page          *Page          `cbor:"5,keyasint,omitempty"`
}

// DigestRequest requests a digest of the receiver's configuration.
type DigestRequest struct {
	// ID is repeated in the Digest.
	ID uint64 `cbor:"1,keyasint"`
	// Loaded is false while the sender has no configuration.
	Loaded bool `cbor:"2,keyasint"`
	// CompleteRevision is the revision up to which the sender knows every
	// change.
	CompleteRevision store.Revision `cbor:"3,keyasint"`
}

// Digest responds to a DigestRequest: it says which revisions the sender has
// and, where its log allows, what the requester lacks.
type Digest struct {
	ID     uint64 `cbor:"1,keyasint"`
	Loaded bool   `cbor:"2,keyasint"`
	// No record changed in (ContentRevision, CompleteRevision], and the sender
	// knows every change up to CompleteRevision.
	ContentRevision  store.Revision `cbor:"3,keyasint"`
	CompleteRevision store.Revision `cbor:"4,keyasint"`
	// Evidence is the sender's latest evidence, or nil when it has none that is
	// recent.
	Evidence *Evidence `cbor:"5,keyasint,omitempty"`
	// Delta holds the changes that the requester lacks, or is nil when the
	// sender's log does not reach back that far.
	Delta *Delta `cbor:"6,keyasint,omitempty"`
}

// Evidence states that the store's revision was not above Revision at some time
// at most AgeMicros before the message was sent.
type Evidence struct {
	Revision  store.Revision `cbor:"1,keyasint"`
	AgeMicros uint64         `cbor:"2,keyasint"`
}

// Update is a change of one record.
type Update struct {
	Key      string         `cbor:"1,keyasint"`
	Value    []byte         `cbor:"2,keyasint,omitempty"`
	Revision store.Revision `cbor:"3,keyasint"`
	Deleted  bool           `cbor:"4,keyasint,omitempty"`
}

// Delta holds the changes of records in (After, CompleteRevision], in order of
// revision. Of several changes of a key it may hold only the last.
type Delta struct {
	After            store.Revision `cbor:"1,keyasint"`
	CompleteRevision store.Revision `cbor:"2,keyasint"`
	Updates          []Update       `cbor:"3,keyasint,omitempty"`
}

// PageRequest requests a page of the whole configuration.
type PageRequest struct {
	// ID is repeated in the Page.
	ID uint64 `cbor:"1,keyasint"`
	// From is the key at which the page begins; empty for the first page.
	From string `cbor:"2,keyasint"`
}

// Page is a part of the whole configuration.
type Page struct {
	ID               uint64         `cbor:"1,keyasint"`
	ContentRevision  store.Revision `cbor:"2,keyasint"`
	CompleteRevision store.Revision `cbor:"3,keyasint"`
	Entries          []Update       `cbor:"4,keyasint,omitempty"`
	// Next is the key at which the following page begins, or empty after the
	// last page.
	Next string `cbor:"5,keyasint,omitempty"`
}

// ceilMicros returns a duration in microseconds, rounded up so that an age is
// never understated.
func ceilMicros(age time.Duration) uint64 {
	return uint64((age + time.Microsecond - 1) / time.Microsecond)
}
