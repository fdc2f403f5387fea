package config

import (
	"context"
	"sync"
)

// publisher hands states to subscribers from one goroutine, so that a slow
// subscriber does not hold up the coordinator.
type publisher struct {
	signal chan struct{}

	mu struct {
		sync.Mutex
		loaded bool
		state  State
	}
	// delivery guards the order of calls to subscribers.
	delivery struct {
		sync.Mutex
		loaded      bool
		state       State
		subscribers []func(State)
	}
}

func (p *publisher) init() { p.signal = make(chan struct{}, 1) }

func (p *publisher) publish(state State) {
	p.mu.Lock()
	p.mu.loaded, p.mu.state = true, state
	p.mu.Unlock()
	select {
	case p.signal <- struct{}{}:
	default:
	}
}

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
