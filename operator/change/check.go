package change

import (
	"context"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"samphirehitch.example/samphirehitch/process/config"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/version/record"
	"samphirehitch.example/samphirehitch/version/snapshot"
)

// LoadConfiguration reads all records from the store, as daemons do.
func LoadConfiguration(ctx context.Context, kv store.Store) (config.State, error) {
	listing, err := kv.List(ctx, config.Prefix)
	if err != nil {
		return config.State{}, eris.Wrap(err, "list configuration")
	}
	state := config.State{Revision: listing.Revision}
	for _, entry := range listing.Entries {
		if !strings.HasPrefix(entry.Key, config.HeartbeatPrefix) {
			state.Entries = append(state.Entries, entry)
		}
	}
	slices.SortFunc(state.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return state, nil
}

// CheckReferences simulates a change that writes some documents and deletes the records
// with the given names. It returns a DanglingReferenceError when a record would be
// rejected after the change that is not rejected, or for another reason, in state.
func CheckReferences(state config.State, written []*record.Document, deleted []string) error {
	snapshotBefore, _ := snapshot.Build(nil, state)
	stateAfter := config.State{Revision: state.Revision + 1}
	replaced := make(map[string]bool, len(written)+len(deleted))
	for _, document := range written {
		value, err := document.Encode()
		if err != nil {
			return err
		}
		key := StoreKey(document.Kind, document.ID)
		replaced[key] = true
		stateAfter.Entries = append(stateAfter.Entries, store.Entry{Key: key, Value: value, Revision: stateAfter.Revision})
	}
	for _, name := range deleted {
		replaced[config.Prefix+name] = true
	}
	for _, entry := range state.Entries {
		if !replaced[entry.Key] {
			stateAfter.Entries = append(stateAfter.Entries, entry)
		}
	}
	snapshotAfter, _ := snapshot.Build(nil, stateAfter)
	return checkNoNewRejections(snapshotBefore.Rejections(), snapshotAfter.Rejections())
}

// checkNoNewRejections returns a DanglingReferenceError with the rejections that are in
// after but not in before, or nil when there are none.
func checkNoNewRejections(before, after []snapshot.Rejection) error {
	knownRejections := make(map[string]bool, len(before))
	for _, rejection := range before {
		knownRejections[rejection.Key+"\x00"+rejection.Err.Error()] = true
	}
	rejections := slices.DeleteFunc(slices.Clone(after), func(rejection snapshot.Rejection) bool {
		return knownRejections[rejection.Key+"\x00"+rejection.Err.Error()]
	})
	if len(rejections) == 0 {
		return nil
	}
	return &DanglingReferenceError{Rejections: rejections}
}

// writeOrder is the order in which records are written: each kind follows the kinds
// that it refers to.
var writeOrder = []record.Kind{
	record.KindCustomer, record.KindService, record.KindLimit, record.KindRoute, record.KindKey,
}

// SortForWriting sorts documents into the order in which they must be written, so that
// no record refers to one that has not been written yet.
func SortForWriting(documents []*record.Document) {
	slices.SortStableFunc(documents, func(a, b *record.Document) int {
		return slices.Index(writeOrder, a.Kind) - slices.Index(writeOrder, b.Kind)
	})
}
