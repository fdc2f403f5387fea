package relay

import (
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// askPause is the least time between questions for a configuration: an answer
	// takes a few milliseconds, and a lost one is soon replaced.
	askPause = 100 * time.Millisecond
	// askPatience is how long work waits for a configuration that its sender has seen:
	// a question and its answer, and one repetition.
	askPatience = 200 * time.Millisecond
	// askPoll is the pause between looks at whether it has come.
	askPoll = 3 * time.Millisecond
)

// AskConfiguration asks a peer for a newer configuration. Instances that the store
// turns away learn of changes so.
func (r *Relay) AskConfiguration(from topology.InstanceID) {
	now := r.Clock()
	r.mu.Lock()
	due := r.askedAt == 0 || now-r.askedAt >= askPause
	if due {
		r.askedAt = now
	}
	r.mu.Unlock()
	if !due {
		return
	}
	question := &ask{At: now}
	if c := r.Engine.Catalog(); c != nil {
		question.Version = c.Version
	}
	r.send(from, &message{Ask: question})
}

// tell answers a question for a newer configuration.
func (r *Relay) tell(to topology.InstanceID, question *ask) {
	c := r.Engine.Catalog()
	if c == nil || c.Version <= question.Version {
		return
	}
	entry := r.Configuration()
	if entry.Revision != c.Revision {
		return // a newer one has come but is not in force yet
	}
	r.send(to, &message{Told: &told{Revision: entry.Revision, Value: entry.Value, Age: r.Engine.Tenure.Age(r.Clock()), At: question.At}})
}

// told takes a configuration. It was confirmed no earlier than its age before the
// question, unless that was an earlier process's or an older one.
func (r *Relay) told(from topology.InstanceID, answer *told) {
	r.mu.Lock()
	asked := r.askedAt != 0 && answer.At == r.askedAt
	r.mu.Unlock()
	at := time.Duration(-1)
	if asked && answer.Age >= 0 {
		at = answer.At - answer.Age
	}
	r.OnConfiguration(from, answer.Revision, answer.Value, at)
}

// awaitVersion waits for a configuration that a peer has seen. It reports whether it
// is in force here.
func (r *Relay) awaitVersion(from topology.InstanceID, version uint64) bool {
	current := func() bool {
		c := r.Engine.Catalog()
		return c != nil && c.Version >= version
	}
	for end := r.Clock() + askPatience; !current() && r.Clock() < end; {
		r.AskConfiguration(from)
		time.Sleep(askPoll)
	}
	return current()
}

// confirmation returns the revision of the configuration in force here and how long
// ago the store was asked to confirm it, zero when it was not.
func (r *Relay) confirmation() (store.Revision, time.Duration) {
	c, age := r.Engine.Catalog(), r.Engine.Tenure.Age(r.Clock())
	if c == nil || age < 0 {
		return 0, 0
	}
	return c.Revision, age
}
