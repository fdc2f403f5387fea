package daemon

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// returning is a configuration whose evidence returns after some time.
type returning struct {
	begin time.Time
	after time.Duration
}

var errStale = errors.New("stale")

func (r returning) CheckFresh() error {
	if time.Since(r.begin) < r.after {
		return errStale
	}
	return nil
}

func TestTheGateWaitsForEvidenceOnlySoLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if err := (gate{returning{time.Now(), evidenceWait / 2}}).CheckFresh(); err != nil {
			t.Errorf("evidence that returns within the wait: %v", err)
		}
		begin := time.Now()
		if err := (gate{returning{time.Now(), time.Hour}}).CheckFresh(); !errors.Is(err, errStale) {
			t.Errorf("evidence that does not return: %v", err)
		}
		if waited := time.Since(begin); waited != evidenceWait {
			t.Errorf("waited %v, want %v", waited, evidenceWait)
		}
	})
}
