package demo

import (
	"context"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/load/inject"
	"samphirehitch.example/samphirehitch/version/record"
)

// operator changes the keys and daemons of a deployment for fault injection. It
// implements inject.Operator.
type operator struct {
	deployment *Deployment
}

// SetKeyWithdrawn implements inject.Operator.
func (o operator) SetKeyWithdrawn(ctx context.Context, customer int, withdrawn bool) error {
	d := o.deployment
	verifier, err := record.NewVerifier(d.Secrets[customer])
	if err != nil {
		return err
	}
	return d.PutRecord(ctx, record.Key{
		ID: d.Shape.KeyID(customer), Customer: d.Shape.CustomerID(customer),
		Withdrawn: withdrawn, Verifier: verifier,
	})
}

// StopDaemon implements inject.Operator.
func (o operator) StopDaemon(_ context.Context, daemon int, drain bool) error {
	running := o.deployment.Daemons[daemon]
	if drain {
		return running.Stop()
	}
	running.Daemon.Abort()
	return running.Stop()
}

// StartDaemon implements inject.Operator.
func (o operator) StartDaemon(context.Context, int) error {
	return eris.New("a stopped daemon of a demonstration cannot be started again")
}

// injector returns the injector of faults into the deployment's stand-ins, keys and
// daemons.
func (d *Deployment) injector() inject.Injector {
	return inject.Local{Operator: operator{d}, Groups: d.Groups, Store: d.Store.Store()}
}
