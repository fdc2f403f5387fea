package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
)

// storePath is the path of one process to a store. The mutex of the store is shared by all
// paths to it.
type storePath struct {
	store.Transactor
	mu    *sync.Mutex
	store *expiringStore
	// delays are those of a call whose context has none, and calls counts the calls.
	delays pathDelays
	calls  int
	// cut: no call arrives. refuse: no write is executed. Both fail at once.
	cut, refuse bool
	// loseResponses has writes executed without a response, and delayWrites has them
	// delayed, until the test executes those in delayed.
	loseResponses, delayWrites bool
	delayed                    []store.Transaction
}

// pathDelays are how long a call and its response are under way, as a value of a context.
type pathDelays struct{ call, response time.Duration }

type pathDelaysKey struct{}

func withDelays(ctx context.Context, call, response time.Duration) context.Context {
	return context.WithValue(ctx, pathDelaysKey{}, pathDelays{call, response})
}

// call runs a call at the store. A call or a response that arrives after the context is
// done has failed.
func (p *storePath) call(ctx context.Context, run func() error) error {
	delays, drawn := ctx.Value(pathDelaysKey{}).(pathDelays)
	if !drawn {
		delays = p.delays
	}
	time.Sleep(delays.call)
	p.mu.Lock()
	p.calls++
	var err error
	if p.cut {
		err = store.ErrUnavailable
	} else {
		err = run()
	}
	p.mu.Unlock()
	time.Sleep(delays.response)
	if ctx.Err() != nil {
		return store.ErrUnavailable
	}
	return err
}

func (p *storePath) Grant(ctx context.Context, ttl time.Duration) (id store.LeaseID, err error) {
	err = p.call(ctx, func() error { id = p.store.grant(ttl); return nil })
	return id, err
}

func (p *storePath) KeepAlive(ctx context.Context, id store.LeaseID) error {
	return p.call(ctx, func() error { return p.store.keepAlive(id) })
}

func (p *storePath) List(ctx context.Context, prefix string) (listing store.Listing, err error) {
	err = p.call(ctx, func() error { listing = p.store.list(prefix); return nil })
	return listing, err
}

func (p *storePath) Transact(ctx context.Context, t store.Transaction) (revision store.Revision, err error) {
	err = p.call(ctx, func() error {
		writes := len(t.Puts)+len(t.Deletes) > 0
		switch {
		case writes && p.refuse:
			return store.ErrUnavailable
		case writes && p.delayWrites:
			p.delayed = append(p.delayed, t)
			return store.ErrUnavailable
		}
		revision, err = p.store.transact(t)
		if writes && p.loseResponses && !errors.Is(err, store.ErrConflict) {
			return store.ErrUnavailable
		}
		return err
	})
	return revision, err
}
