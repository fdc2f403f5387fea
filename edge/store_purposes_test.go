package edge

import (
	"context"
	"testing"

	"samphirehitch.example/samphirehitch/process/store"
)

func TestCallsAreSummarizedByPurposeOnce(t *testing.T) {
	d := newTestDaemon(t)
	d.countStoreCall(purposeWatch, "watch", 410)
	d.countStoreCall(purposeConfirm, "transact", 200)
	d.countStoreCall(purposeConfirm, "transact", 200)
	if got, want := d.calls.take(), "confirm transact 200: 2, watch watch 410: 1"; got != want {
		t.Fatalf("%q, want %q", got, want)
	}
	if got := d.calls.take(); got != "" {
		t.Fatalf("%q is counted again", got)
	}
}

// purposeStore records the purpose of the last transaction.
type purposeStore struct {
	store.Transactor
	purpose store.Purpose
}

func (s *purposeStore) Transact(ctx context.Context, _ store.Transaction) (store.Revision, error) {
	s.purpose = store.PurposeOf(ctx)
	return 1, nil
}

func TestRegistrationAndUsageHavePurposesOfTheirOwn(t *testing.T) {
	s := &purposeStore{}
	d := newRegisteringDaemon(s)
	if d.putRegistration(t.Context(), leaseGrant{id: 1}, nil); s.purpose != purposeRegister {
		t.Errorf("a registration is counted as %q", s.purpose)
	}
	if d.putUsage(t.Context(), leaseGrant{id: 1}, nil); s.purpose != purposeUsage {
		t.Errorf("a usage is counted as %q", s.purpose)
	}
}
