package memstore

import (
	"context"
	"maps"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/store"
)

// Faults selects the faults that the store injects. The zero value injects none.
type Faults struct {
	// Down makes every call fail with store.ErrUnavailable, including watches that
	// are waiting.
	Down bool `json:"down,omitempty"`
	// DelayMillis delays every call. A write still takes effect when its caller
	// gives up during the delay.
	DelayMillis int `json:"delay_millis,omitempty"`
	// LoseAnswers is the number of upcoming writes that take effect but fail with
	// store.ErrUnavailable, as if their responses were lost.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseProbability is the probability, from 0 to 1, that the response to a
	// write is lost.
	LoseProbability float64 `json:"lose_probability,omitempty"`
	// StaleReads makes reads and watches return the content as of the moment at
	// which the fault was set.
	StaleReads bool `json:"stale_reads,omitempty"`
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.StaleReads && !s.mu.faults.StaleReads {
		s.mu.stale = maps.Clone(s.mu.latest)
		s.mu.staleRevision = s.mu.revision
	}
	s.mu.faults = faults
	s.wakeWatches()
}

// Faults returns the injected faults, with LoseAnswers reduced by the responses that
// have been lost.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.faults
}

// visibleChanges returns the changes that reads and watches see. The caller holds
// s.mu.
func (s *Store) visibleChanges() map[string]store.Change {
	if s.mu.faults.StaleReads {
		return s.mu.stale
	}
	return s.mu.latest
}

// visibleRevision returns the revision that reads and watches see. The caller holds
// s.mu.
func (s *Store) visibleRevision() store.Revision {
	if s.mu.faults.StaleReads {
		return s.mu.staleRevision
	}
	return s.mu.revision
}

// beginCall counts a call and applies the faults that occur before its effect:
// unavailability and delay.
func (s *Store) beginCall(ctx context.Context, kind callKind, subject string) error {
	s.mu.Lock()
	s.mu.counts.add(kind)
	faults := s.mu.faults
	s.mu.Unlock()
	if faults.Down {
		return eris.Wrapf(store.ErrUnavailable, "%s %s", kind, subject)
	}
	if err := sleep(ctx, faults.delay()); err != nil {
		return eris.Wrapf(store.ErrUnavailable, "%s %s: %v", kind, subject, err)
	}
	return nil
}

func (f Faults) delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

// sleep waits for the delay or until ctx is done.
func sleep(ctx context.Context, delay time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// callResult holds the return values of a call.
type callResult[T any] struct {
	value T
	err   error
}

// runCall performs one call other than a watch, with the injected faults. The
// effect runs with s.mu held.
func runCall[T any](ctx context.Context, s *Store, kind callKind, subject string, effect func() (T, error)) (T, error) {
	if kind.isWrite() && s.Faults().DelayMillis > 0 {
		return runDetached(ctx, s, kind, subject, effect)
	}
	if err := s.beginCall(ctx, kind, subject); err != nil {
		var zero T
		return zero, err
	}
	result := runEffect(s, kind, subject, effect)
	return result.value, result.err
}

// runDetached performs a call whose effect also happens when ctx is done first.
func runDetached[T any](ctx context.Context, s *Store, kind callKind, subject string, effect func() (T, error)) (T, error) {
	done := make(chan callResult[T], 1)
	go func() {
		if err := s.beginCall(context.WithoutCancel(ctx), kind, subject); err != nil {
			done <- callResult[T]{err: err}
			return
		}
		done <- runEffect(s, kind, subject, effect)
	}()
	select {
	case result := <-done:
		return result.value, result.err
	case <-ctx.Done():
		var zero T
		return zero, eris.Wrapf(store.ErrUnavailable, "%s %s: %v", kind, subject, ctx.Err())
	}
}

// runEffect expires leases, runs the effect and loses the response of a write if a
// fault selects it.
func runEffect[T any](s *Store, kind callKind, subject string, effect func() (T, error)) callResult[T] {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(s.clock())
	value, err := effect()
	if kind.isWrite() && s.losesResponse() {
		var zero T
		return callResult[T]{zero, eris.Wrapf(store.ErrUnavailable, "%s %s: response lost", kind, subject)}
	}
	return callResult[T]{value, err}
}

// losesResponse reports whether a fault loses the response of the current write.
// The caller holds s.mu.
func (s *Store) losesResponse() bool {
	if s.mu.faults.LoseAnswers > 0 {
		s.mu.faults.LoseAnswers--
		return true
	}
	return s.mu.faults.LoseProbability > 0 && s.mu.rand.Float64() < s.mu.faults.LoseProbability
}
