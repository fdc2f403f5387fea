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

// Load reads the whole configuration as daemons do.
func Load(ctx context.Context, service store.Store) (config.State, error) {
	listing, err := service.List(ctx, config.Prefix)
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

// Check returns a ReferencesError when writing some records and deleting others
// would leave a record without effect that has effect in state.
func Check(state config.State, written []*record.Document, deleted []string) error {
	before, _ := snapshot.Build(nil, state)
	after := config.State{Revision: state.Revision + 1}
	replaced := make(map[string]bool, len(written)+len(deleted))
	for _, document := range written {
		value, err := document.Encode()
		if err != nil {
			return err
		}
		key := Key(document.Kind, document.ID)
		replaced[key] = true
		after.Entries = append(after.Entries, store.Entry{Key: key, Value: value, Revision: after.Revision})
	}
	for _, name := range deleted {
		replaced[config.Prefix+name] = true
	}
	for _, entry := range state.Entries {
		if !replaced[entry.Key] {
			after.Entries = append(after.Entries, entry)
		}
	}
	built, _ := snapshot.Build(nil, after)
	return fresh(before.Rejections(), built.Rejections())
}

// fresh returns the rejections that are new.
func fresh(before, after []snapshot.Rejection) error {
	known := make(map[string]bool, len(before))
	for _, rejection := range before {
		known[rejection.Key+"\x00"+rejection.Err.Error()] = true
	}
	rejections := slices.DeleteFunc(slices.Clone(after), func(rejection snapshot.Rejection) bool {
		return known[rejection.Key+"\x00"+rejection.Err.Error()]
	})
	if len(rejections) == 0 {
		return nil
	}
	return &ReferencesError{Rejections: rejections}
}

// kindOrder is the order in which records are written, so that none refers to one
// that is not there yet.
var kindOrder = []record.Kind{
	record.KindCustomer, record.KindService, record.KindLimit, record.KindRoute, record.KindKey,
}

// Sort puts documents into the order in which they are written.
func Sort(documents []*record.Document) {
	slices.SortStableFunc(documents, func(a, b *record.Document) int {
		return slices.Index(kindOrder, a.Kind) - slices.Index(kindOrder, b.Kind)
	})
}
