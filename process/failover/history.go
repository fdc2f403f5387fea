package failover

import (
	"bytes"
	"slices"

	"samphirehitch.example/samphirehitch/process/topology"
)

// maxTerms is the number of terms whose begin a record holds. Logs that end in an earlier
// term count as left behind.
const maxTerms = 32

// TermBegin is where the log of a term continues the log of the terms before.
type TermBegin struct {
	Term topology.Term `json:"term"`
	// After is the last entry of earlier terms, zero while unknown.
	After topology.Point `json:"after"`
}

// beginOf returns the begin of a term whose primary holds a log that ends at received. It is
// known only until the primary has committed something: a point bears the term of its entry.
func beginOf(term topology.Term, received topology.Point) TermBegin {
	if received.Term < term {
		return TermBegin{Term: term, After: received}
	}
	return TermBegin{Term: term}
}

// history returns the begins of the service's terms, the latest last. A record of an earlier
// version names its own term alone.
func (r Record) history() []TermBegin {
	if len(r.Terms) == 0 || r.Terms[len(r.Terms)-1].Term != r.Term { // of another version, or written by hand
		return []TermBegin{beginOf(r.Term, r.TermStart)}
	}
	return r.Terms
}

// extendHistory returns the history after a primary of a term was found with a log that ends
// at received. A primary that comes back in the record's term continues it. A term that began
// later than the last entry of the new primary's log is no part of the history any more.
func (r Record) extendHistory(term topology.Term, received topology.Point) []TermBegin {
	history := r.history()
	if term > r.Term {
		begin := beginOf(term, received)
		kept := slices.DeleteFunc(slices.Clone(history), func(b TermBegin) bool { return b.Term > begin.After.Term })
		history = append(kept, begin)
	}
	return history[max(0, len(history)-maxTerms):]
}

// share is the part of a target's log that belongs to the service's history.
type share struct {
	// complete is set if that is the whole log. Otherwise the service has left the log: it
	// continues a term after the entry at which the next term began.
	complete bool
	// known is set if end is known, the position up to which the log may hold the history.
	known bool
	end   topology.Position
}

// shareOf returns the part of a log that ends at received which belongs to the history. An
// entry is identified by its term and its position, since each term has one primary. A log of
// a term of which the record knows nothing counts as left, and so does an empty log in a
// service whose term began with entries: the target has lost its log.
func (r Record) shareOf(received topology.Point) share {
	if received.Position == 0 {
		empty := r.TermStart.Position == 0
		return share{complete: empty, known: empty}
	}
	if received.Term >= r.Term {
		return share{complete: true, known: true, end: received.Position}
	}
	history := r.history()
	next := slices.IndexFunc(history, func(b TermBegin) bool { return b.Term > received.Term })
	after := history[next].After // the last begin is that of the record's term
	if after.Term != received.Term {
		return share{}
	}
	return share{complete: received.Position <= after.Position, known: true, end: min(received.Position, after.Position)}
}

// Equal reports whether two records say the same.
func (r Record) Equal(other Record) bool { return bytes.Equal(r.Encode(), other.Encode()) }
