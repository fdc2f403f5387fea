package change

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
	"samphirehitch.example/samphirehitch/operator/history"
	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/version/record"
)

// customer returns a record whose content tells versions apart.
func customer(name string, base record.ChangeID) *record.Document {
	document := record.New(record.Customer{ID: "c", Name: name})
	document.Change = base
	return document
}

func newStore(lose float64, seed uint64) *memstore.Store {
	service := memstore.New(memstore.Config{Clock: clock.System(), Rand: rand.New(rand.NewPCG(seed, seed))})
	service.SetFaults(memstore.Faults{LoseProbability: lose, DelayMillis: 10})
	return service
}

// input and output are an operation on one record as porcupine sees it.
type input struct {
	read      bool
	change    record.ChangeID
	base      record.ChangeID
	overwrite bool
}

type output struct {
	conflict bool
	found    record.ChangeID
}

// model is a register that holds the change which wrote the record.
var model = porcupine.Model{
	Init: func() any { return record.ChangeID("") },
	Step: func(state, in, out any) (bool, any) {
		present, request, result := state.(record.ChangeID), in.(input), out.(output)
		switch {
		case request.read:
			return result.found == present, present
		case result.conflict:
			return !request.overwrite && present != request.base, present
		default:
			return request.overwrite || present == request.base, request.change
		}
	},
}

// TestApplyIsLinearizable lets operators race on one record while answers of the
// store are lost.
func TestApplyIsLinearizable(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		lose := rapid.SampledFrom([]float64{0, 0.3, 0.6}).Draw(r, "lose")
		seed := rapid.Uint64().Draw(r, "seed")
		operators := rapid.IntRange(2, 5).Draw(r, "operators")
		synctest.Test(t, func(t *testing.T) {
			recorded := race(t, newStore(lose, seed), seed, operators)
			if !porcupine.CheckOperations(model, recorded) {
				t.Errorf("seed %d: not linearizable: %+v", seed, recorded)
			}
		})
	})
}

// race runs the operators and records their operations.
func race(t *testing.T, service *memstore.Store, seed uint64, operators int) []porcupine.Operation {
	var mu sync.Mutex
	var recorded []porcupine.Operation
	now := clock.System()
	note := func(operator int, in input, call time.Duration, out output) {
		mu.Lock()
		defer mu.Unlock()
		recorded = append(recorded, porcupine.Operation{
			ClientId: operator, Input: in, Call: int64(call), Output: out, Return: int64(now()),
		})
	}
	var running sync.WaitGroup
	for operator := range operators {
		running.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(operator)))
			writer := NewWriter(service, fmt.Sprint("operator", operator))
			for i := range 6 {
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond) // virtual time, of the bubble
				call := now()
				present, err := Read(t.Context(), service, record.KindCustomer, "c")
				if err != nil {
					t.Error(err)
					return
				}
				found := present.signature().Change
				note(operator, input{read: true}, call, output{found: found})
				in := input{change: record.ChangeID(fmt.Sprintf("%d-%d", operator, i)), base: found, overwrite: random.IntN(3) == 0}
				call = now()
				_, err = writer.Apply(t.Context(), Put(customer(string(in.change), found), in.change, in.overwrite))
				var conflict *ConflictError
				if err != nil && !errors.As(err, &conflict) {
					t.Error(err)
					return
				}
				note(operator, in, call, output{conflict: conflict != nil})
			}
		})
	}
	running.Wait()
	return recorded
}

// TestAnswersAreTrue lets operators race while reads come and go from an old
// replica and answers are lost: what is said to be written was written, and what
// is said not to be was not.
func TestAnswersAreTrue(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		lose := rapid.SampledFrom([]float64{0, 0.4}).Draw(r, "lose")
		seed := rapid.Uint64().Draw(r, "seed")
		synctest.Test(t, func(t *testing.T) {
			service := newStore(lose, seed)
			verdicts := raceOldReads(t, service, seed)
			time.Sleep(callTimeout) // late effects of calls that were given up
			service.SetFaults(memstore.Faults{})
			written := map[record.ChangeID]bool{}
			archive, err := history.Load(t.Context(), service, record.KindCustomer, "c")
			if err != nil {
				t.Fatal(err)
			}
			for _, version := range archive.Versions {
				written[version.Change] = true
			}
			present, err := Read(t.Context(), service, record.KindCustomer, "c")
			if err != nil {
				t.Fatal(err)
			}
			written[present.signature().Change] = true
			for id, said := range verdicts {
				if said != written[id] {
					t.Errorf("seed %d: %s said to be written: %v, was: %v", seed, id, said, written[id])
				}
			}
		})
	})
}

// raceOldReads returns for each change whether it was said to be written. A
// change of unknown outcome is left out.
func raceOldReads(t *testing.T, service *memstore.Store, seed uint64) map[record.ChangeID]bool {
	var mu sync.Mutex
	verdicts := map[record.ChangeID]bool{}
	var running sync.WaitGroup
	for operator := range 3 {
		running.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(operator)))
			writer := NewWriter(service, fmt.Sprint("operator", operator))
			for i := range 5 {
				faults := service.Faults()
				faults.StaleReads = random.IntN(2) == 0
				service.SetFaults(faults)
				id := record.ChangeID(fmt.Sprintf("%d-%d", operator, i))
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				present, err := Read(ctx, service, record.KindCustomer, "c")
				if err == nil {
					base := present.signature().Change
					_, err = writer.Apply(ctx, Put(customer(string(id), base), id, random.IntN(2) == 0))
				}
				cancel()
				mu.Lock()
				if !errors.As(err, new(*UnsettledError)) {
					verdicts[id] = err == nil
				}
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return verdicts
}

// lostRace loses the answer of the first swap of the record, lets a rival follow
// at once, and answers the next read of the archive from before that.
type lostRace struct {
	store.Store
	rival func()
	old   bool
}

func (l *lostRace) CompareAndSwap(ctx context.Context, swap store.Swap) (store.Revision, error) {
	revision, err := l.Store.CompareAndSwap(ctx, swap)
	if l.rival == nil || swap.Key != Key(record.KindCustomer, "c") {
		return revision, err
	}
	l.rival()
	l.rival, l.old = nil, true
	return 0, store.ErrUnavailable
}

func (l *lostRace) Get(ctx context.Context, key string) (store.Entry, error) {
	if l.old && key == history.Key(record.KindCustomer, "c") {
		l.old = false
		return store.Entry{}, store.ErrNotFound
	}
	return l.Store.Get(ctx, key)
}

// TestReplacedChangeIsFound settles a change that a rival has replaced, although
// the first read of the archive is old.
func TestReplacedChangeIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newStore(0, 1)
		rival := func() {
			if _, err := NewWriter(service, "vera").Apply(t.Context(), Put(customer("2", "c1"), "c2", false)); err != nil {
				t.Error(err)
			}
		}
		writer := NewWriter(&lostRace{Store: service, rival: rival}, "asha")
		result, err := writer.Apply(t.Context(), Put(customer("1", ""), "c1", false))
		if err != nil || result.Outcome != OutcomeReplaced {
			t.Errorf("%+v: %v", result, err)
		}
	})
}

// TestConflictNamesBothSides races a change against one that came first.
func TestConflictNamesBothSides(t *testing.T) {
	service := memstore.New(memstore.Config{})
	asha, vera := NewWriter(service, "asha"), NewWriter(service, "vera")
	if _, err := asha.Apply(t.Context(), Put(customer("1", ""), "c1", false)); err != nil {
		t.Fatal(err)
	}
	if _, err := asha.Apply(t.Context(), Put(customer("2", "c1"), "c2", false)); err != nil {
		t.Fatal(err)
	}
	_, err := vera.Apply(t.Context(), Put(customer("3", "c1"), "c3", false))
	want := "record customer/c: conflict, not written: change c3 by vera is based on change c1 and found change c2 by asha at revision 3"
	if err == nil || err.Error() != want {
		t.Errorf("got  %v\nwant %s", err, want)
	}
	archive, err := history.Load(t.Context(), service, record.KindCustomer, "c")
	if _, ok := archive.Find("c1"); err != nil || !ok {
		t.Errorf("archive %+v: %v", archive, err)
	}
}

// TestUnsettled gives up while the store takes writes and answers none, and
// settles by a rerun.
func TestUnsettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newStore(1, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		request := Put(customer("1", ""), "c1", false)
		writer := NewWriter(&deaf{Store: service}, "asha")
		_, err := writer.Apply(ctx, request)
		var unsettled *UnsettledError
		if !errors.As(err, &unsettled) || unsettled.Change != "c1" {
			t.Fatalf("got %v", err)
		}
		service.SetFaults(memstore.Faults{})
		request.Rerun = true
		result, err := NewWriter(service, "asha").Apply(t.Context(), request)
		if err != nil || result.Outcome != OutcomeChanged || result.Revision == 0 {
			t.Errorf("rerun: %+v: %v", result, err)
		}
		if _, err := NewWriter(service, "vera").Apply(t.Context(), Put(customer("2", "c1"), "c2", false)); err != nil {
			t.Fatal(err)
		}
		if result, err = NewWriter(service, "asha").Apply(t.Context(), request); err != nil || result.Outcome != OutcomeReplaced {
			t.Errorf("rerun after a rival: %+v: %v", result, err)
		}
	})
}

// deaf takes a swap and reports every swap as unanswered.
type deaf struct{ store.Store }

func (d *deaf) CompareAndSwap(ctx context.Context, swap store.Swap) (store.Revision, error) {
	_, _ = d.Store.CompareAndSwap(ctx, swap)
	return 0, store.ErrUnavailable
}

// TestDelete deletes through a lost answer, and a record that is not there.
func TestDelete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newStore(0, 1)
		writer := NewWriter(service, "asha")
		if _, err := writer.Apply(t.Context(), Put(customer("1", ""), "c1", false)); err != nil {
			t.Fatal(err)
		}
		removal := Request{Kind: record.KindCustomer, ID: "c", Change: "c2", Base: "c1", Delete: true}
		service.SetFaults(memstore.Faults{LoseResponses: 2})
		if result, err := writer.Apply(t.Context(), removal); err != nil || result.Outcome != OutcomeDeleted {
			t.Errorf("%+v: %v", result, err)
		}
		if _, err := writer.Apply(t.Context(), removal); !errors.As(err, new(*NotFoundError)) {
			t.Errorf("again: %v", err)
		}
	})
}

// TestCheck refuses changes that leave records without effect.
func TestCheck(t *testing.T) {
	service := memstore.New(memstore.Config{})
	writer := NewWriter(service, "asha")
	if _, err := writer.Apply(t.Context(), Put(customer("1", ""), "c1", false)); err != nil {
		t.Fatal(err)
	}
	limit := record.New(record.Limit{Customer: "c", Rate: 1, Burst: 1})
	state, err := Load(t.Context(), service)
	if err != nil {
		t.Fatal(err)
	}
	if err := Check(state, []*record.Document{limit}, nil); err != nil {
		t.Errorf("a good limit: %v", err)
	}
	if err := Check(state, []*record.Document{limit}, []string{"customer/c"}); !errors.As(err, new(*ReferencesError)) {
		t.Errorf("a limit without a customer: %v", err)
	}
}
