package relay

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// configurationRequestInterval is the minimum time between requests for a
	// configuration. A response takes a few milliseconds; a lost one is requested
	// again.
	configurationRequestInterval = 100 * time.Millisecond
	// configurationWaitTimeout is how long a forwarded operation waits for the
	// configuration that its sender has seen: enough for one request and one retry.
	configurationWaitTimeout = 200 * time.Millisecond
	// configurationPollInterval is the time between checks whether the configuration
	// has arrived.
	configurationPollInterval = 3 * time.Millisecond
)

// RequestConfiguration requests a newer configuration from a peer, unless a request was
// sent within the last interval. This is how instances learn of changes when the
// store does not serve them.
func (r *Relay) RequestConfiguration(from topology.InstanceID) {
	now := r.Clock()
	r.mu.Lock()
	due := r.configurationRequestedAt == 0 || now-r.configurationRequestedAt >= configurationRequestInterval
	if due {
		r.configurationRequestedAt, r.configurationPeer = now, from
	}
	r.mu.Unlock()
	if !due {
		return
	}
	req := &configurationRequest{SentAt: now}
	if c := r.Engine.Catalog(); c != nil {
		req.Version = c.Version
	}
	r.send(from, &message{ConfigurationRequest: req})
}

// handleConfigurationRequest sends the configuration in force to a peer that has an
// older one.
func (r *Relay) handleConfigurationRequest(to topology.InstanceID, req *configurationRequest) {
	c := r.Engine.Catalog()
	if c == nil || c.Version <= req.Version {
		return
	}
	age := r.Engine.Authority.ConfirmationAge(r.Clock()) // see confirmedConfiguration
	entry := r.Configuration()
	r.send(to, &message{ConfigurationResponse: &configurationResponse{Revision: entry.Revision, Value: entry.Value, ConfirmationAge: age, RequestSentAt: req.SentAt}})
}

// handleConfigurationResponse applies a configuration from a peer. Its age counts from
// the time of the request, which is before the peer read it: the confirmation is at
// least as recent. When the response is to another request, perhaps of an earlier
// process, the time of the confirmation is unknown.
func (r *Relay) handleConfigurationResponse(from topology.InstanceID, resp *configurationResponse) {
	r.mu.Lock()
	expected := from == r.configurationPeer && r.configurationRequestedAt != 0 && resp.RequestSentAt == r.configurationRequestedAt
	r.mu.Unlock()
	confirmedAt := time.Duration(-1)
	if expected && resp.ConfirmationAge >= 0 {
		confirmedAt = resp.RequestSentAt - resp.ConfirmationAge
	}
	r.OnConfiguration(from, resp.Revision, resp.Value, confirmedAt)
}

// awaitConfiguration waits until a configuration of at least the given version, which
// a peer has seen, is in force here, and requests it from the peer. It reports whether
// it is in force.
func (r *Relay) awaitConfiguration(from topology.InstanceID, version uint64) bool {
	current := func() bool {
		c := r.Engine.Catalog()
		return c != nil && c.Version >= version
	}
	for deadline := r.Clock() + configurationWaitTimeout; !current() && r.Clock() < deadline; {
		r.RequestConfiguration(from)
		time.Sleep(configurationPollInterval)
	}
	return current()
}

// confirmedConfiguration returns the version of the configuration in force here and
// the age of its confirmation by the store, or zeros without a confirmation. The age is read
// first: it must not be that of a later version, while that of an earlier one says as much of
// the versions after it.
func (r *Relay) confirmedConfiguration() (uint64, time.Duration) {
	age := r.Engine.Authority.ConfirmationAge(r.Clock())
	c := r.Engine.Catalog()
	if c == nil || age < 0 {
		return 0, 0
	}
	return c.Version, age
}
