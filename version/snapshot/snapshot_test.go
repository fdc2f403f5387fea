package snapshot

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"samphirehitch.example/samphirehitch/process/config"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
)

// TestBuild runs testdata/build. "put" and "delete" change the state of the store and
// build the next snapshot from the previous one; "restart" builds it without a previous
// one, as a starting instance does.
func TestBuild(t *testing.T) {
	entries := map[string]store.Entry{}
	var revision store.Revision
	var current *Snapshot
	datadriven.RunTest(t, "testdata/build", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "put":
			for line := range strings.Lines(d.Input) {
				key, value, _ := strings.Cut(strings.TrimSpace(line), " ")
				revision++
				entries[config.Prefix+key] = store.Entry{Key: config.Prefix + key, Value: []byte(value), Revision: revision}
			}
		case "delete":
			revision++
			delete(entries, config.Prefix+strings.TrimSpace(d.Input))
		case "restart":
			current = nil
		default:
			t.Fatalf("unknown command %s", d.Cmd)
		}
		var newRejections []Rejection
		current, newRejections = Build(current, configState(revision, entries))
		return formatSnapshot(current, newRejections)
	})
}

func configState(revision store.Revision, entries map[string]store.Entry) config.State {
	state := config.State{Revision: revision}
	for _, entry := range entries {
		state.Entries = append(state.Entries, entry)
	}
	slices.SortFunc(state.Entries, func(a, b store.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return state
}

func formatSnapshot(s *Snapshot, newRejections []Rejection) string {
	var out strings.Builder
	fmt.Fprintf(&out, "revision %d\n", s.Revision())
	var keys []string
	for _, key := range s.keys {
		keys = append(keys, fmt.Sprintf("key %s customer=%s withdrawn=%v\n", key.ID, key.Customer, key.Withdrawn))
	}
	slices.Sort(keys)
	out.WriteString(strings.Join(keys, ""))
	for _, limit := range s.Limits() {
		fmt.Fprintf(&out, "limit %s rate=%g burst=%g\n", limit.Customer, limit.Rate, limit.Burst)
	}
	for _, service := range s.Services() {
		fmt.Fprintf(&out, "service %s targets=%d\n", service.ID, len(service.Targets))
	}
	for _, route := range s.Routes() {
		fmt.Fprintf(&out, "route %s allows c1=%v c2=%v\n", route.Database, s.Allows(route.Database, "c1"), s.Allows(route.Database, "c2"))
	}
	for _, rejection := range newRejections {
		fmt.Fprintf(&out, "new rejection %s@%d %s: %v\n", rejection.Key, rejection.Revision, rejection.Effect, rejection.Err)
	}
	fmt.Fprintf(&out, "rejections %d\n", len(s.Rejections()))
	return out.String()
}

// TestHolderPublishesInOrder publishes revisions in and out of order. A subscriber must
// see rising revisions only, starting with the one in force when it subscribes.
func TestHolderPublishesInOrder(t *testing.T) {
	var holder Holder
	var published []store.Revision
	if holder.Current() != nil {
		t.Error("a new holder has a snapshot")
	}
	build := func(revision store.Revision) *Snapshot {
		built, _ := Build(nil, config.State{Revision: revision})
		return built
	}
	holder.Publish(build(3))
	holder.Subscribe(func(s *Snapshot) { published = append(published, s.Revision()) })
	for _, revision := range []store.Revision{2, 5, 5, 4, 6} {
		holder.Publish(build(revision))
	}
	if !slices.Equal(published, []store.Revision{3, 5, 6}) || holder.Current().Revision() != 6 {
		t.Errorf("published %v, current %d", published, holder.Current().Revision())
	}
}

// TestBuildIgnoresEntryOrder builds from entries that are not sorted by key. They must
// still be matched with those of the previous snapshot.
func TestBuildIgnoresEntryOrder(t *testing.T) {
	ordered := customersState(5)
	shuffled := config.State{Revision: ordered.Revision + 1, Entries: slices.Clone(ordered.Entries)}
	slices.Reverse(shuffled.Entries)
	previous, _ := Build(nil, ordered)
	built, rejections := Build(previous, shuffled)
	if len(rejections) != 0 || !slices.EqualFunc(built.entries, previous.entries, func(a, b entryState) bool { return a.key == b.key && a.value != nil }) {
		t.Errorf("rejections %v", rejections)
	}
}

// TestRejectionWrapsTypedError checks that errors.As finds the typed error of a
// rejection.
func TestRejectionWrapsTypedError(t *testing.T) {
	entry := store.Entry{Key: config.Prefix + "customer/a", Revision: 1, Value: []byte(`{"kind":"customer","schema":1,"id":"b","spec":{"name":"B"}}`)}
	_, rejections := Build(nil, config.State{Revision: 1, Entries: []store.Entry{entry}})
	if len(rejections) != 1 || !errors.As(rejections[0].Err, new(*KeyMismatchError)) {
		t.Errorf("rejections %v", rejections)
	}
}

// customersState returns a state with a customer, a key and a limit record for each of
// the given number of customers.
func customersState(customers int) config.State {
	entries := map[string]store.Entry{}
	put := func(value record.Value) {
		data, err := record.New(value).Encode()
		if err != nil {
			panic(err)
		}
		key := config.Prefix + record.Name(value.Kind(), value.RecordID())
		entries[key] = store.Entry{Key: key, Value: data, Revision: store.Revision(len(entries) + 1)}
	}
	verifier, err := record.NewVerifier("secret")
	if err != nil {
		panic(err)
	}
	for i := range customers {
		id := topology.CustomerID(fmt.Sprintf("c%d", i))
		put(record.Customer{ID: id, Name: "customer"})
		put(record.Key{ID: topology.KeyID("k-" + id), Customer: id, Verifier: verifier})
		put(record.Limit{Customer: id, Rate: 10, Burst: 20})
	}
	return configState(store.Revision(len(entries)), entries)
}

// TestLookupDoesNotAllocate checks the lookup that each request makes.
func TestLookupDoesNotAllocate(t *testing.T) {
	var holder Holder
	built, _ := Build(nil, customersState(10))
	holder.Publish(built)
	if n := testing.AllocsPerRun(100, func() { holder.Current().Key("k-c7") }); n != 0 {
		t.Errorf("%v allocations in a lookup", n)
	}
}

// BenchmarkKey measures the lookup of a key.
func BenchmarkKey(b *testing.B) {
	var holder Holder
	built, _ := Build(nil, customersState(1000))
	holder.Publish(built)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := holder.Current().Key("k-c777"); !ok {
			b.Fatal("key not found")
		}
	}
}

// BenchmarkBuild measures a build after one record changed.
func BenchmarkBuild(b *testing.B) {
	for _, customers := range []int{1000, 30000} {
		b.Run(fmt.Sprintf("records=%d", 3*customers), func(b *testing.B) {
			initial := customersState(customers)
			previous, _ := Build(nil, initial)
			changed := config.State{Revision: initial.Revision + 1, Entries: slices.Clone(initial.Entries)}
			changed.Entries[0].Revision = changed.Revision
			b.ReportAllocs()
			for b.Loop() {
				Build(previous, changed)
			}
		})
	}
}
