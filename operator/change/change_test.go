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

// customerDocument returns a version of record customer/c, based on the given change.
// The name distinguishes versions.
func customerDocument(name string, base record.ChangeID) *record.Document {
	document := record.New(record.Customer{ID: "c", Name: name})
	document.Change = base
	return document
}

// newStore returns a store that loses responses to changes with the given probability.
func newStore(loseProbability float64, seed uint64) *memstore.Store {
	kv := memstore.New(memstore.Config{Clock: clock.System(), Rand: rand.New(rand.NewPCG(seed, seed))})
	kv.SetFaults(memstore.Faults{LoseProbability: loseProbability, DelayMillis: 10})
	return kv
}

// input is the input of an operation on one record, for the linearizability checker: a
// read, or a change with its base.
type input struct {
	read      bool
	change    record.ChangeID
	base      record.ChangeID
	overwrite bool
}

// output is the result of an operation: whether a change met a conflict, or the change
// that wrote the version found by a read.
type output struct {
	conflict bool
	found    record.ChangeID
}

// registerModel models a record as a compare-and-swap register. Its state is the change
// that wrote the current version.
var registerModel = porcupine.Model{
	Init: func() any { return record.ChangeID("") },
	Step: func(state, in, out any) (bool, any) {
		current, request, result := state.(record.ChangeID), in.(input), out.(output)
		switch {
		case request.read:
			return result.found == current, current
		case result.conflict:
			return !request.overwrite && current != request.base, current
		default:
			return request.overwrite || current == request.base, request.change
		}
	},
}

// TestApplyIsLinearizable lets several operators change one record while the store loses
// responses. Their reads, changes and conflicts must be linearizable.
func TestApplyIsLinearizable(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		loseProbability := rapid.SampledFrom([]float64{0, 0.3, 0.6}).Draw(r, "lose")
		seed := rapid.Uint64().Draw(r, "seed")
		operators := rapid.IntRange(2, 5).Draw(r, "operators")
		synctest.Test(t, func(t *testing.T) {
			recorded := runOperators(t, newStore(loseProbability, seed), seed, operators)
			if !porcupine.CheckOperations(registerModel, recorded) {
				t.Errorf("seed %d: not linearizable: %+v", seed, recorded)
			}
		})
	})
}

// runOperators runs the operators and records their operations.
func runOperators(t *testing.T, kv *memstore.Store, seed uint64, operators int) []porcupine.Operation {
	var mu sync.Mutex
	var recorded []porcupine.Operation
	now := clock.System()
	recordOperation := func(operator int, request input, call time.Duration, result output) {
		mu.Lock()
		defer mu.Unlock()
		recorded = append(recorded, porcupine.Operation{
			ClientId: operator, Input: request, Call: int64(call), Output: result, Return: int64(now()),
		})
	}
	var running sync.WaitGroup
	for operator := range operators {
		running.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(operator)))
			writer := NewWriter(kv, fmt.Sprint("operator", operator))
			for i := range 6 {
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond) // virtual time
				call := now()
				current, err := Read(t.Context(), kv, record.KindCustomer, "c")
				if err != nil {
					t.Error(err)
					return
				}
				found := current.attribution().Change
				recordOperation(operator, input{read: true}, call, output{found: found})
				request := input{change: record.ChangeID(fmt.Sprintf("%d-%d", operator, i)), base: found, overwrite: random.IntN(3) == 0}
				call = now()
				_, err = writer.Apply(t.Context(), NewPutRequest(customerDocument(string(request.change), found), request.change, request.overwrite))
				var conflict *ConflictError
				if err != nil && !errors.As(err, &conflict) {
					t.Error(err)
					return
				}
				recordOperation(operator, request, call, output{conflict: conflict != nil})
			}
		})
	}
	running.Wait()
	return recorded
}

// TestReportedOutcomesMatchTheStore lets operators change one record while reads may be
// stale and responses are lost. Every change that is reported as written must be found
// in the store, and no change that is reported as not written.
func TestReportedOutcomesMatchTheStore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		loseProbability := rapid.SampledFrom([]float64{0, 0.4}).Draw(r, "lose")
		seed := rapid.Uint64().Draw(r, "seed")
		synctest.Test(t, func(t *testing.T) {
			kv := newStore(loseProbability, seed)
			reportedWritten := runOperatorsOnStaleReplica(t, kv, seed)
			time.Sleep(callTimeout) // writes that timed out may still take effect
			kv.SetFaults(memstore.Faults{})
			written := map[record.ChangeID]bool{}
			archive, err := history.Load(t.Context(), kv, record.KindCustomer, "c")
			if err != nil {
				t.Fatal(err)
			}
			for _, version := range archive.Versions {
				written[version.Change] = true
			}
			current, err := Read(t.Context(), kv, record.KindCustomer, "c")
			if err != nil {
				t.Fatal(err)
			}
			written[current.attribution().Change] = true
			for id, reported := range reportedWritten {
				if reported != written[id] {
					t.Errorf("seed %d: %s reported as written: %v, is written: %v", seed, id, reported, written[id])
				}
			}
		})
	})
}

// runOperatorsOnStaleReplica runs operators while reads switch between current and stale
// data. It returns for each change whether it was reported as written; changes with an
// unknown outcome are left out.
func runOperatorsOnStaleReplica(t *testing.T, kv *memstore.Store, seed uint64) map[record.ChangeID]bool {
	var mu sync.Mutex
	reportedWritten := map[record.ChangeID]bool{}
	var running sync.WaitGroup
	for operator := range 3 {
		running.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(operator)))
			writer := NewWriter(kv, fmt.Sprint("operator", operator))
			for i := range 5 {
				faults := kv.Faults()
				faults.StaleReads = random.IntN(2) == 0
				kv.SetFaults(faults)
				id := record.ChangeID(fmt.Sprintf("%d-%d", operator, i))
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				current, err := Read(ctx, kv, record.KindCustomer, "c")
				if err == nil {
					base := current.attribution().Change
					_, err = writer.Apply(ctx, NewPutRequest(customerDocument(string(id), base), id, random.IntN(2) == 0))
				}
				cancel()
				mu.Lock()
				if !errors.As(err, new(*OutcomeUnknownError)) {
					reportedWritten[id] = err == nil
				}
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return reportedWritten
}

// lostResponseStore loses the response to the first swap of record customer/c, then
// immediately calls replace, which writes a later version, and returns stale data for
// the next read of the record's history.
type lostResponseStore struct {
	store.Store
	replace      func()
	staleArchive bool
}

func (s *lostResponseStore) CompareAndSwap(ctx context.Context, swap store.Swap) (store.Revision, error) {
	revision, err := s.Store.CompareAndSwap(ctx, swap)
	if s.replace == nil || swap.Key != StoreKey(record.KindCustomer, "c") {
		return revision, err
	}
	s.replace()
	s.replace, s.staleArchive = nil, true
	return 0, store.ErrUnavailable
}

func (s *lostResponseStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if s.staleArchive && key == history.Key(record.KindCustomer, "c") {
		s.staleArchive = false
		return store.Entry{}, store.ErrNotFound
	}
	return s.Store.Get(ctx, key)
}

// TestReplacedChangeIsFoundInArchive checks that a change whose response was lost is
// reported as replaced, not as a conflict, when another operator has replaced it already
// and the first read of the history is stale.
func TestReplacedChangeIsFoundInArchive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newStore(0, 1)
		replace := func() {
			if _, err := NewWriter(kv, "vera").Apply(t.Context(), NewPutRequest(customerDocument("2", "c1"), "c2", false)); err != nil {
				t.Error(err)
			}
		}
		writer := NewWriter(&lostResponseStore{Store: kv, replace: replace}, "asha")
		result, err := writer.Apply(t.Context(), NewPutRequest(customerDocument("1", ""), "c1", false))
		if err != nil || result.Outcome != OutcomeReplaced {
			t.Errorf("%+v: %v", result, err)
		}
	})
}

// TestConflictNamesBothSides checks the conflict of a change whose base has been
// replaced: the error names both changes and their authors, and the base is archived.
func TestConflictNamesBothSides(t *testing.T) {
	kv := memstore.New(memstore.Config{})
	asha, vera := NewWriter(kv, "asha"), NewWriter(kv, "vera")
	if _, err := asha.Apply(t.Context(), NewPutRequest(customerDocument("1", ""), "c1", false)); err != nil {
		t.Fatal(err)
	}
	if _, err := asha.Apply(t.Context(), NewPutRequest(customerDocument("2", "c1"), "c2", false)); err != nil {
		t.Fatal(err)
	}
	_, err := vera.Apply(t.Context(), NewPutRequest(customerDocument("3", "c1"), "c3", false))
	want := "record customer/c: conflict, not written: change c3 by vera is based on change c1 and found change c2 by asha at revision 3"
	if err == nil || err.Error() != want {
		t.Errorf("got  %v\nwant %s", err, want)
	}
	archive, err := history.Load(t.Context(), kv, record.KindCustomer, "c")
	if _, ok := archive.FindChange("c1"); err != nil || !ok {
		t.Errorf("archive %+v: %v", archive, err)
	}
}

// TestRerunResolvesUnknownOutcome lets a change time out on a store that applies writes
// without responding. A rerun with the same change ID must find the change, also after
// another operator has replaced it.
func TestRerunResolvesUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newStore(1, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		request := NewPutRequest(customerDocument("1", ""), "c1", false)
		writer := NewWriter(&unresponsiveStore{Store: kv}, "asha")
		_, err := writer.Apply(ctx, request)
		var unknown *OutcomeUnknownError
		if !errors.As(err, &unknown) || unknown.Change != "c1" {
			t.Fatalf("got %v", err)
		}
		kv.SetFaults(memstore.Faults{})
		request.Rerun = true
		result, err := NewWriter(kv, "asha").Apply(t.Context(), request)
		if err != nil || result.Outcome != OutcomeChanged || result.Revision == 0 {
			t.Errorf("rerun: %+v: %v", result, err)
		}
		if _, err := NewWriter(kv, "vera").Apply(t.Context(), NewPutRequest(customerDocument("2", "c1"), "c2", false)); err != nil {
			t.Fatal(err)
		}
		if result, err = NewWriter(kv, "asha").Apply(t.Context(), request); err != nil || result.Outcome != OutcomeReplaced {
			t.Errorf("rerun after another change: %+v: %v", result, err)
		}
	})
}

// unresponsiveStore applies swaps but returns ErrUnavailable for all of them.
type unresponsiveStore struct{ store.Store }

func (s *unresponsiveStore) CompareAndSwap(ctx context.Context, swap store.Swap) (store.Revision, error) {
	_, _ = s.Store.CompareAndSwap(ctx, swap)
	return 0, store.ErrUnavailable
}

// TestDeleteAfterLostResponse deletes a record while responses are lost, and checks that
// deleting it again reports that it does not exist.
func TestDeleteAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newStore(0, 1)
		writer := NewWriter(kv, "asha")
		if _, err := writer.Apply(t.Context(), NewPutRequest(customerDocument("1", ""), "c1", false)); err != nil {
			t.Fatal(err)
		}
		deletion := Request{Kind: record.KindCustomer, ID: "c", Change: "c2", Base: "c1", Delete: true}
		kv.SetFaults(memstore.Faults{LoseAnswers: 2})
		if result, err := writer.Apply(t.Context(), deletion); err != nil || result.Outcome != OutcomeDeleted {
			t.Errorf("%+v: %v", result, err)
		}
		if _, err := writer.Apply(t.Context(), deletion); !errors.As(err, new(*NotFoundError)) {
			t.Errorf("second deletion: %v", err)
		}
	})
}

// TestCheckRejectsDanglingReferences checks a limit with its customer, and the same limit
// when the customer is deleted in the same change.
func TestCheckRejectsDanglingReferences(t *testing.T) {
	kv := memstore.New(memstore.Config{})
	writer := NewWriter(kv, "asha")
	if _, err := writer.Apply(t.Context(), NewPutRequest(customerDocument("1", ""), "c1", false)); err != nil {
		t.Fatal(err)
	}
	limit := record.New(record.Limit{Customer: "c", Rate: 1, Burst: 1})
	state, err := LoadConfiguration(t.Context(), kv)
	if err != nil {
		t.Fatal(err)
	}
	if err := CheckReferences(state, []*record.Document{limit}, nil); err != nil {
		t.Errorf("limit with its customer: %v", err)
	}
	if err := CheckReferences(state, []*record.Document{limit}, []string{"customer/c"}); !errors.As(err, new(*DanglingReferenceError)) {
		t.Errorf("limit without a customer: %v", err)
	}
}
