package config

import (
	"context"
	"sync"
)

// publisher delivers states to subscribers on a goroutine of its own, so that a
// slow subscriber does not delay the coordinator.
type publisher struct {
	// signal wakes run; it has capacity one.
	signal chan struct{}

	// mu guards the latest published state, which may not have been delivered
	// yet.
	mu struct {
		sync.Mutex
		loaded bool
		state  State
	}
	// delivery is held while subscribers are called, so that each of them sees
	// the states in order. It guards the state delivered last.
	delivery struct {
		sync.Mutex
		loaded      bool
		state       State
		subscribers []func(State)
	}
}

func (p *publisher) init() { p.signal = make(chan struct{}, 1) }

// publish stores a state for delivery. It does not block.
func (p *publisher) publish(state State) {
	p.mu.Lock()
	p.mu.loaded, p.mu.state = true, state
	p.mu.Unlock()
	select {
	case p.signal <- struct{}{}:
	default:
	}
}

// subscribe adds a subscriber and calls it with the last delivered state, if
// any.
func (p *publisher) subscribe(notify func(State)) {
	p.delivery.Lock()
	defer p.delivery.Unlock()
	p.delivery.subscribers = append(p.delivery.subscribers, notify)
	if p.delivery.loaded {
		notify(p.delivery.state)
	}
}

func (p *publisher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.signal:
			p.deliver()
		}
	}
}

func (p *publisher) deliver() {
	p.delivery.Lock()
	defer p.delivery.Unlock()
	p.mu.Lock()
	p.delivery.loaded, p.delivery.state = p.mu.loaded, p.mu.state
	p.mu.Unlock()
	for _, notify := range p.delivery.subscribers {
		notify(p.delivery.state)
	}
}
