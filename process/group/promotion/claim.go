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

// Claim is the value of a claim's key. It informs operators; the key's lease
// tells whose it is.
type Claim struct {
	Instance topology.InstanceID `cbor:"1,keyasint"`
	Term     topology.Term       `cbor:"2,keyasint"`
}

// Claimant claims promotions of one group in the store.
type Claimant struct {
	Store   store.Store
	Service topology.ServiceID
	Self    topology.InstanceID
	// TTL is the lease of a claim, in whole milliseconds.
	TTL time.Duration
}

// ClaimKey returns the store key of a service's claim.
func ClaimKey(service topology.ServiceID) string { return "groups/" + string(service) + "/claim" }

// Claim attempts the claim once. The lease is granted when the result is
// ClaimGranted, and may be otherwise: when not zero, the caller revokes it. The
// error says why the claim was not granted.
func (c *Claimant) Claim(ctx context.Context, term topology.Term) (ClaimOutcome, store.LeaseID, error) {
	value, err := cbor.Marshal(Claim{Instance: c.Self, Term: term})
	if err != nil {
		return ClaimUnavailable, 0, eris.Wrap(err, "encode the claim")
	}
	lease, err := c.Store.Grant(ctx, c.TTL)
	if err != nil {
		return ClaimUnavailable, 0, eris.Wrapf(err, "lease for the claim of %s", c.Service)
	}
	swap := store.Swap{Key: ClaimKey(c.Service), Value: value, Lease: lease}
	const attempts = 2
	for range attempts {
		_, err = c.Store.CompareAndSwap(ctx, swap)
		if err == nil {
			return ClaimGranted, lease, nil
		}
		outcome, readErr := c.readBack(ctx, lease)
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

// readBack settles a swap that failed or got no answer. It returns ErrNotFound
// when nobody holds the claim.
func (c *Claimant) readBack(ctx context.Context, lease store.LeaseID) (ClaimOutcome, error) {
	entry, err := c.Store.Get(ctx, ClaimKey(c.Service))
	if err != nil {
		return ClaimUnavailable, err
	}
	if entry.Lease == lease {
		return ClaimGranted, nil
	}
	return ClaimHeld, nil
}

// Release revokes the lease of a claim.
func (c *Claimant) Release(ctx context.Context, lease store.LeaseID) error {
	return eris.Wrapf(c.Store.Revoke(ctx, lease), "release the claim of %s", c.Service)
}
