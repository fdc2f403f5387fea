package promotion

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Claim is the value stored under a claim's key. It only informs operators: the
// key's lease determines which instance holds the claim.
type Claim struct {
	Instance topology.InstanceID `cbor:"1,keyasint"`
	Term     topology.Term       `cbor:"2,keyasint"`
}

// Claimant acquires the claim of one group, a leased key in the store that keeps
// instances from promoting at the same time.
type Claimant struct {
	Store   store.Store
	Service topology.ServiceID
	Self    topology.InstanceID
	// TTL is the TTL of the claim's lease, in whole milliseconds.
	TTL time.Duration
}

// ClaimKey returns the store key of the claim of a service's group.
func ClaimKey(service topology.ServiceID) string { return "groups/" + string(service) + "/claim" }

// Claim makes one attempt at the claim. The returned lease may have been granted
// even if the claim was not; if it is not zero, the caller has to revoke it. The
// error describes why the claim was not granted.
func (c *Claimant) Claim(ctx context.Context, term topology.Term) (ClaimOutcome, store.LeaseID, error) {
	value, err := cbor.Marshal(Claim{Instance: c.Self, Term: term})
	if err != nil {
		return ClaimUnavailable, 0, eris.Wrap(err, "encode the claim")
	}
	lease, err := c.Store.Grant(ctx, c.TTL)
	if err != nil {
		return ClaimUnavailable, 0, eris.Wrapf(err, "grant a lease for the claim of %s", c.Service)
	}
	swap := store.Swap{Key: ClaimKey(c.Service), Value: value, Lease: lease}
	const maxAttempts = 2
	for range maxAttempts {
		_, err = c.Store.CompareAndSwap(ctx, swap)
		if err == nil {
			return ClaimGranted, lease, nil
		}
		outcome, readErr := c.readHolder(ctx, lease)
		if readErr == nil && outcome == ClaimGranted {
			return outcome, lease, nil
		}
		if readErr == nil {
			return outcome, lease, eris.Wrapf(err, "claim %s", c.Service)
		}
		if !errors.Is(readErr, store.ErrNotFound) {
			break
		}
	}
	return ClaimUnavailable, lease, eris.Wrapf(err, "claim %s", c.Service)
}

// readHolder finds out who holds the claim after a swap that failed or got no
// response. It returns store.ErrNotFound if no instance holds it.
func (c *Claimant) readHolder(ctx context.Context, lease store.LeaseID) (ClaimOutcome, error) {
	entry, err := c.Store.Get(ctx, ClaimKey(c.Service))
	if err != nil {
		return ClaimUnavailable, err
	}
	if entry.Lease == lease {
		return ClaimGranted, nil
	}
	return ClaimHeldByOther, nil
}

// Release releases a claim by revoking its lease.
func (c *Claimant) Release(ctx context.Context, lease store.LeaseID) error {
	return eris.Wrapf(c.Store.Revoke(ctx, lease), "release the claim of %s", c.Service)
}
