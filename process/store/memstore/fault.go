package memstore

import (
	"context"
	"maps"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/store"
)

// Faults is how the store misbehaves. The zero value is a healthy store.
type Faults struct {
	// Down makes every call fail with store.ErrUnavailable, waiting watches too.
	Down bool `json:"down,omitempty"`
	// DelayMillis is added to every call. A change may take effect after its
	// caller has given up.
	DelayMillis int `json:"delay_millis,omitempty"`
	// LoseAnswers is how many of the next changes take effect and still fail
	// with store.ErrUnavailable.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseProbability is the chance that a change's answer is lost, 0 to 1.
	LoseProbability float64 `json:"lose_probability,omitempty"`
	// StaleReads makes reads and watches answer from the content at the moment
	// the fault was set.
	StaleReads bool `json:"stale_reads,omitempty"`
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.StaleReads && !s.mu.faults.StaleReads {
		s.mu.stale = maps.Clone(s.mu.latest)
		s.mu.staleRevision = s.mu.revision
	}
	s.mu.faults = faults
	s.wake()
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.faults
}

func (s *Store) readable() map[string]store.Change {
	if s.mu.faults.StaleReads {
		return s.mu.stale
	}
	return s.mu.latest
}

func (s *Store) readableRevision() store.Revision {
	if s.mu.faults.StaleReads {
		return s.mu.staleRevision
	}
	return s.mu.revision
}

// enter counts a call and passes the faults that strike before its effect.
func (s *Store) enter(ctx context.Context, kind callKind, subject string) error {
	s.mu.Lock()
	s.mu.counts.add(kind)
	faults := s.mu.faults
	s.mu.Unlock()
	if faults.Down {
		return eris.Wrapf(store.ErrUnavailable, "%s %s", kind, subject)
	}
	if err := wait(ctx, faults.delay()); err != nil {
		return eris.Wrapf(store.ErrUnavailable, "%s %s: %v", kind, subject, err)
	}
	return nil
}

func (f Faults) delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

func wait(ctx context.Context, delay time.Duration) error {
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

type outcome[A any] struct {
	value A
	err   error
}

// answer runs one call other than a watch. The effect runs with the lock held.
func answer[A any](ctx context.Context, s *Store, kind callKind, subject string, effect func() (A, error)) (A, error) {
	if kind.changes() && s.Faults().DelayMillis > 0 {
		return answerDetached(ctx, s, kind, subject, effect)
	}
	if err := s.enter(ctx, kind, subject); err != nil {
		var none A
		return none, err
	}
	result := apply(s, kind, subject, effect)
	return result.value, result.err
}

// answerDetached lets the effect happen also when the caller gives up first.
func answerDetached[A any](ctx context.Context, s *Store, kind callKind, subject string, effect func() (A, error)) (A, error) {
	done := make(chan outcome[A], 1)
	go func() {
		if err := s.enter(context.WithoutCancel(ctx), kind, subject); err != nil {
			done <- outcome[A]{err: err}
			return
		}
		done <- apply(s, kind, subject, effect)
	}()
	select {
	case result := <-done:
		return result.value, result.err
	case <-ctx.Done():
		var none A
		return none, eris.Wrapf(store.ErrUnavailable, "%s %s: %v", kind, subject, ctx.Err())
	}
}

func apply[A any](s *Store, kind callKind, subject string, effect func() (A, error)) outcome[A] {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(s.clock())
	value, err := effect()
	if kind.changes() && s.loses() {
		var none A
		return outcome[A]{none, eris.Wrapf(store.ErrUnavailable, "%s %s: answer lost", kind, subject)}
	}
	return outcome[A]{value, err}
}

func (s *Store) loses() bool {
	if s.mu.faults.LoseAnswers > 0 {
		s.mu.faults.LoseAnswers--
		return true
	}
	return s.mu.faults.LoseProbability > 0 && s.mu.rand.Float64() < s.mu.faults.LoseProbability
}
