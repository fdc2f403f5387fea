package edge

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// lockOwnKeys waits until no other goroutine writes this instance's keys, and returns the
// function that lets others write them. It returns false if the context is done first. The
// lease and the usage to be written are to be read under it: the outcome of an earlier write
// changes them.
func (d *Daemon) lockOwnKeys(ctx context.Context) (unlock func(), ok bool) {
	select {
	case d.writingKeys <- struct{}{}:
		return func() { <-d.writingKeys }, true
	case <-ctx.Done():
		return nil, false
	}
}

// putRegistration writes the registration under a lease, together with the usage. An
// empty usage is written only to replace one that is stored, such as that of an earlier
// process: forwarding instances need no key for it.
func (d *Daemon) putRegistration(ctx context.Context, lease leaseGrant, services []topology.ServiceID) bool {
	value, err := json.Marshal(d.registration(lease.ttl))
	if err != nil {
		eventConfigUnreadable.LogError(d.log, err, "key", instanceKey(d.settings.Instance))
		return false
	}
	values := map[string][]byte{instanceKey(d.settings.Instance): value}
	if known := d.recordsBeforeRestore(); known != nil {
		values[knownKey(d.settings.Instance)] = known
	}
	return d.putOwnKeys(ctx, purposeRegister, lease, services, values)
}

// putUsage writes the usage under the registration's lease.
func (d *Daemon) putUsage(ctx context.Context, lease leaseGrant, services []topology.ServiceID) bool {
	return d.putOwnKeys(ctx, purposeUsage, lease, services, nil)
}

// putOwnKeys writes the usage and other keys of this instance under a lease. Once the
// usage is written, it counts as declared.
func (d *Daemon) putOwnKeys(ctx context.Context, purpose store.Purpose, lease leaseGrant, services []topology.ServiceID, values map[string][]byte) bool {
	encodedUsage, err := json.Marshal(usage(services))
	if err != nil {
		eventConfigUnreadable.LogError(d.log, err, "key", usageKey(d.settings.Instance))
		return false
	}
	var puts []store.Put
	for key, value := range values {
		puts = append(puts, store.Put{Key: key, Value: value, Lease: lease.id})
	}
	usagePut := store.Put{Key: usageKey(d.settings.Instance), Value: encodedUsage, Lease: lease.id}
	ctx = store.WithPurpose(ctx, purpose)
	var written usageWrite
	for range maxOwnKeyAttempts {
		if written, err = d.replaceOwnKeys(ctx, puts, usagePut, len(services) > 0); !errors.Is(err, store.ErrConflict) {
			break
		}
	}
	if errors.Is(err, store.ErrLeaseExpired) {
		d.registrationExpired(lease)
	}
	d.noteOwnLease(lease, len(values) > 0, err)
	if err != nil {
		d.storeFailed("put registration", err)
		return false
	}
	d.setDeclaredServices(services, written)
	return true
}

// noteOwnLease notes after a write whether this instance's keys are known to be under the
// lease that it renews: all of them, if the write has included the registration.
func (d *Daemon) noteOwnLease(written leaseGrant, all bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil:
		d.leaseInDoubt = d.leaseInDoubt && !all
	case !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrLeaseExpired):
		d.leaseInDoubt = d.leaseInDoubt || written.id != d.lease.id
	}
}

// usageWrite describes a successful write of the usage.
type usageWrite struct {
	revision store.Revision
	// uninterrupted says that the write has replaced the usage that this process wrote last,
	// which was in the store until then.
	uninterrupted bool
}

// maxOwnKeyAttempts bounds the attempts to replace this instance's keys. One attempt may
// conflict with the keys of an earlier process, and another with a delayed write of that
// process or of this one.
const maxOwnKeyAttempts = 3

// replaceOwnKeys writes keys of this instance and its usage, provided that each is still
// at the last known revision. A usage that is neither stored nor needed is left out of the
// write, not out of the condition. A write whose response was lost may take effect seconds
// later. Without the condition it could replace a later usage, and a fence would not wait
// for this instance while it uses the primary; or attach the registration to a lease that
// is not renewed.
func (d *Daemon) replaceOwnKeys(ctx context.Context, puts []store.Put, usagePut store.Put, usageNeeded bool) (usageWrite, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	transaction := store.Transaction{Puts: slices.Clone(puts)}
	d.mu.Lock()
	if usageNeeded || len(puts) == 0 || d.ownRevisions[usagePut.Key] != 0 {
		transaction.Puts = append(transaction.Puts, usagePut)
	}
	for _, put := range append(slices.Clone(puts), usagePut) {
		transaction.Expect = append(transaction.Expect, store.Expectation{Key: put.Key, Revision: d.ownRevisions[put.Key]})
	}
	replaced := d.ownRevisions[usagePut.Key]
	d.mu.Unlock()
	revision, err := d.store.Transact(callCtx, transaction)
	var conflict *store.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return usageWrite{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if conflict == nil {
		for _, put := range transaction.Puts {
			d.ownRevisions[put.Key] = revision
		}
		written := usageWrite{revision: revision, uninterrupted: replaced != 0 && replaced == d.declaredRevision}
		d.declaredRevision = d.ownRevisions[usagePut.Key]
		return written, nil
	}
	for _, expectation := range transaction.Expect {
		d.ownRevisions[expectation.Key] = 0
	}
	for _, current := range conflict.Current {
		if current.Key == instanceKey(d.settings.Instance) {
			d.survivedLease = leaseGrant{id: current.Lease, era: current.Revision.Era()}
		}
		if _, own := d.ownRevisions[current.Key]; own {
			d.ownRevisions[current.Key] = current.Revision
		}
	}
	return usageWrite{}, err
}
