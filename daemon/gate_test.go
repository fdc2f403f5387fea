package daemon

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// delayedEvidence is a configuration that becomes fresh when delay has passed since
// begin.
type delayedEvidence struct {
	begin time.Time
	delay time.Duration
}

var errStale = errors.New("stale")

func (e delayedEvidence) CheckFresh() error {
	if time.Since(e.begin) < e.delay {
		return errStale
	}
	return nil
}

// The gate waits for evidence that is renewed within maxEvidenceWait, and refuses after
// exactly that time otherwise.
func TestFreshnessGateWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if err := (freshnessGate{delayedEvidence{time.Now(), maxEvidenceWait / 2}}).CheckFresh(); err != nil {
			t.Errorf("evidence renewed within the wait: %v", err)
		}
		begin := time.Now()
		if err := (freshnessGate{delayedEvidence{time.Now(), time.Hour}}).CheckFresh(); !errors.Is(err, errStale) {
			t.Errorf("evidence not renewed: %v, want errStale", err)
		}
		if waited := time.Since(begin); waited != maxEvidenceWait {
			t.Errorf("waited %v, want %v", waited, maxEvidenceWait)
		}
	})
}
