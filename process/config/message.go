package config

import (
	"time"

	"samphirehitch.example/samphirehitch/process/store"
)

// Message is what instances exchange over peer.KindConfig. Exactly one member
// is set.
type Message struct {
	Ask     *Ask     `cbor:"1,keyasint,omitempty"`
	Answer  *Answer  `cbor:"2,keyasint,omitempty"`
	Push    *Delta   `cbor:"3,keyasint,omitempty"`
	PageAsk *PageAsk `cbor:"4,keyasint,omitempty"`
	Page    *Page    `cbor:"5,keyasint,omitempty"`
}

// Ask requests a digest of the peer's configuration.
type Ask struct {
	// ID is echoed in the answer.
	ID uint64 `cbor:"1,keyasint"`
	// Loaded is false while the sender has no configuration.
	Loaded bool `cbor:"2,keyasint"`
	// Complete is the revision up to which the sender knows every change.
	Complete store.Revision `cbor:"3,keyasint"`
}

// Answer is a digest.
type Answer struct {
	ID       uint64         `cbor:"1,keyasint"`
	Loaded   bool           `cbor:"2,keyasint"`
	Content  store.Revision `cbor:"3,keyasint"`
	Complete store.Revision `cbor:"4,keyasint"`
	// Evidence is the freshest evidence of the sender, or nil.
	Evidence *Evidence `cbor:"5,keyasint,omitempty"`
	// Delta holds what the asker lacks, when the sender's log reaches back that
	// far.
	Delta *Delta `cbor:"6,keyasint,omitempty"`
}

// Evidence says that the store had reached Revision, and not passed it, at some
// moment that lies at most AgeMicros before the answer.
type Evidence struct {
	Revision  store.Revision `cbor:"1,keyasint"`
	AgeMicros uint64         `cbor:"2,keyasint"`
}

// Update is a change of one key.
type Update struct {
	Key      string         `cbor:"1,keyasint"`
	Value    []byte         `cbor:"2,keyasint,omitempty"`
	Revision store.Revision `cbor:"3,keyasint"`
	Deleted  bool           `cbor:"4,keyasint,omitempty"`
}

// Delta holds every change after After up to Complete, in order.
type Delta struct {
	After    store.Revision `cbor:"1,keyasint"`
	Complete store.Revision `cbor:"2,keyasint"`
	Updates  []Update       `cbor:"3,keyasint,omitempty"`
}

// PageAsk requests a page of the whole configuration.
type PageAsk struct {
	ID uint64 `cbor:"1,keyasint"`
	// From is the first key of the page.
	From string `cbor:"2,keyasint"`
}

// Page is a part of the whole configuration.
type Page struct {
	ID       uint64         `cbor:"1,keyasint"`
	Content  store.Revision `cbor:"2,keyasint"`
	Complete store.Revision `cbor:"3,keyasint"`
	Entries  []Update       `cbor:"4,keyasint,omitempty"`
	// Next is the first key of the following page, or empty after the last.
	Next string `cbor:"5,keyasint,omitempty"`
}

// ageMicros rounds up, so that an age is never understated.
func ageMicros(age time.Duration) uint64 {
	return uint64((age + time.Microsecond - 1) / time.Microsecond)
}
