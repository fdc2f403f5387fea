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

// TestBuild runs testdata/build. "put" and "delete" change the state and build
// the next snapshot from the previous one; "restart" builds it from nothing.
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
		var fresh []Rejection
		current, fresh = Build(current, state(revision, entries))
		return describe(current, fresh)
	})
}

func state(revision store.Revision, entries map[string]store.Entry) config.State {
	state := config.State{Revision: revision}
	for _, entry := range entries {
		state.Entries = append(state.Entries, entry)
	}
	slices.SortFunc(state.Entries, func(a, b store.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return state
}

func describe(s *Snapshot, fresh []Rejection) string {
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
	for _, rejection := range fresh {
		fmt.Fprintf(&out, "new rejection %s@%d %s: %v\n", rejection.Key, rejection.Revision, rejection.Effect, rejection.Err)
	}
	fmt.Fprintf(&out, "rejections %d\n", len(s.Rejections()))
	return out.String()
}

// TestHolder publishes in and out of order.
func TestHolder(t *testing.T) {
	var holder Holder
	var seen []store.Revision
	if holder.Current() != nil {
		t.Error("a new holder holds a snapshot")
	}
	build := func(revision store.Revision) *Snapshot {
		built, _ := Build(nil, config.State{Revision: revision})
		return built
	}
	holder.Publish(build(3))
	holder.Subscribe(func(s *Snapshot) { seen = append(seen, s.Revision()) })
	for _, revision := range []store.Revision{2, 5, 5, 4, 6} {
		holder.Publish(build(revision))
	}
	if !slices.Equal(seen, []store.Revision{3, 5, 6}) || holder.Current().Revision() != 6 {
		t.Errorf("seen %v, current %d", seen, holder.Current().Revision())
	}
}

// TestOrderDoesNotMatter builds from entries in another order than by key.
func TestOrderDoesNotMatter(t *testing.T) {
	ordered := large(5)
	shuffled := config.State{Revision: ordered.Revision + 1, Entries: slices.Clone(ordered.Entries)}
	slices.Reverse(shuffled.Entries)
	previous, _ := Build(nil, ordered)
	built, rejections := Build(previous, shuffled)
	if len(rejections) != 0 || !slices.EqualFunc(built.held, previous.held, func(a, b held) bool { return a.key == b.key && a.value != nil }) {
		t.Errorf("rejections %v", rejections)
	}
}

// TestErrorsAreTyped finds the typed errors behind rejections.
func TestErrorsAreTyped(t *testing.T) {
	entry := store.Entry{Key: config.Prefix + "customer/a", Revision: 1, Value: []byte(`{"kind":"customer","schema":1,"id":"b","spec":{"name":"B"}}`)}
	_, rejections := Build(nil, config.State{Revision: 1, Entries: []store.Entry{entry}})
	if len(rejections) != 1 || !errors.As(rejections[0].Err, new(*MisplacedError)) {
		t.Errorf("rejections %v", rejections)
	}
}

func large(customers int) config.State {
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
	return state(store.Revision(len(entries)), entries)
}

// TestLookupDoesNotAllocate holds the lookups of a request free of allocation.
func TestLookupDoesNotAllocate(t *testing.T) {
	var holder Holder
	built, _ := Build(nil, large(10))
	holder.Publish(built)
	if n := testing.AllocsPerRun(100, func() { holder.Current().Key("k-c7") }); n != 0 {
		t.Errorf("%v allocations in a lookup", n)
	}
}

// BenchmarkKey looks a key up.
func BenchmarkKey(b *testing.B) {
	var holder Holder
	built, _ := Build(nil, large(1000))
	holder.Publish(built)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := holder.Current().Key("k-c777"); !ok {
			b.Fatal("the key is missing")
		}
	}
}

// BenchmarkBuild builds from records of which one changed.
func BenchmarkBuild(b *testing.B) {
	for _, customers := range []int{1000, 30000} {
		b.Run(fmt.Sprintf("records=%d", 3*customers), func(b *testing.B) {
			before := large(customers)
			previous, _ := Build(nil, before)
			after := config.State{Revision: before.Revision + 1, Entries: slices.Clone(before.Entries)}
			after.Entries[0].Revision = after.Revision
			b.ReportAllocs()
			for b.Loop() {
				Build(previous, after)
			}
		})
	}
}
