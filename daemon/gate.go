package daemon

import "time"

// Timing of the wait for evidence that the configuration is fresh.
const (
	maxEvidenceWait      = 300 * time.Millisecond
	evidencePollInterval = 5 * time.Millisecond
)

// freshnessChecker is the part of the configuration driver that freshnessGate uses.
type freshnessChecker interface {
	// CheckFresh returns nil while there is recent evidence that the configuration is
	// current, or else the reason why it is stale.
	CheckFresh() error
}

// freshnessGate admits requests while the configuration is fresh. The evidence of a
// process that was suspended has expired when it resumes, and one exchange with a
// peer or the store renews it. The gate therefore waits up to maxEvidenceWait before it
// refuses the requests that queued up during the suspension. It implements
// execute.ConfigurationGate.
type freshnessGate struct {
	config freshnessChecker
}

// CheckFresh returns nil as soon as the configuration is fresh, or the reason why it is
// still stale after maxEvidenceWait.
func (g freshnessGate) CheckFresh() error {
	err := g.config.CheckFresh()
	if err == nil {
		return nil
	}
	ticker := time.NewTicker(evidencePollInterval)
	defer ticker.Stop()
	for range maxEvidenceWait / evidencePollInterval {
		<-ticker.C
		if err = g.config.CheckFresh(); err == nil {
			return nil
		}
	}
	return err
}
