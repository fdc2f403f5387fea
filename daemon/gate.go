package daemon

import "time"

// Bounds of the wait for evidence that the configuration is recent.
const (
	evidenceWait     = 300 * time.Millisecond
	evidenceInterval = 5 * time.Millisecond
)

// freshness tells whether the configuration can be shown to be recent at this
// moment.
type freshness interface {
	CheckFresh() error
}

// gate lets requests act on the configuration while it is fresh. A process that
// wakes from a pause has lost its evidence and regains it by one exchange with a
// peer or the store; the gate waits for that for a bounded time before it
// refuses what queued up meanwhile. It implements execute.Gate.
type gate struct {
	config freshness
}

// Fresh returns nil as soon as the configuration is fresh, or the reason why it
// is not after the wait.
func (g gate) CheckFresh() error {
	err := g.config.CheckFresh()
	if err == nil {
		return nil
	}
	ticker := time.NewTicker(evidenceInterval)
	defer ticker.Stop()
	for range evidenceWait / evidenceInterval {
		<-ticker.C
		if err = g.config.CheckFresh(); err == nil {
			return nil
		}
	}
	return err
}
