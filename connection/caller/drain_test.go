package caller

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// The time that was left for commits and responses must also be there when a drain is short.
func TestDrainScheduleLeavesTimeForCommitsAndResponses(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct{ total, terminate, abandon time.Duration }{
		{30 * time.Second, 25 * time.Second, 29500 * time.Millisecond},
		{4 * time.Second, 3 * time.Second, 3600 * time.Millisecond},
		{100 * time.Millisecond, 75 * time.Millisecond, 90 * time.Millisecond},
	} {
		s := newDrainSchedule(now, now.Add(test.total))
		if s.terminateAt.Sub(now) != test.terminate || s.abandonAt.Sub(now) != test.abandon {
			t.Errorf("%v: terminates after %v and abandons after %v, want %v and %v",
				test.total, s.terminateAt.Sub(now), s.abandonAt.Sub(now), test.terminate, test.abandon)
		}
	}
}

// mustAnswerAtItsEnd runs a drain beside a caller that has sent a part of a request.
func mustAnswerAtItsEnd(t *testing.T, ctx context.Context) {
	t.Helper()
	s, _ := newTestServer(t, Config{})
	c := dial(t, s)
	c.login(testKey, testSecret, "ledger")
	c.writeRaw([]byte{'Q', 0, 0})
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(ctx) }()
	c.receivedKinds = nil
	for c.receive() != nil {
	}
	if got := fmt.Sprint(c.receivedKinds); got != "[FATAL 57P01 closed]" {
		t.Errorf("received %s", got)
	}
	if err := <-drained; err != nil {
		t.Errorf("drain: %v", err)
	}
}

// The connection of a caller that had sent a part of a request was closed without an error.
func TestEndOfDrainAnswersAPartOfARequest(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	mustAnswerAtItsEnd(t, ctx)
}

// suspendedContext ends as soon as it is awaited, as if the process was suspended in between until
// after the deadline.
type suspendedContext struct {
	context.Context
	awaited chan struct{}
}

func (s suspendedContext) Deadline() (time.Time, bool) { return time.Now().Add(time.Minute), true }

func (s suspendedContext) Done() <-chan struct{} {
	select {
	case <-s.awaited:
	default:
		close(s.awaited)
	}
	return s.awaited
}

func (s suspendedContext) Err() error {
	select {
	case <-s.awaited:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// A process that was suspended over the last steps of its drain closed connections without a
// response.
func TestDrainThatWasSuspendedAnswersAtItsEnd(t *testing.T) {
	mustAnswerAtItsEnd(t, suspendedContext{t.Context(), make(chan struct{})})
}
