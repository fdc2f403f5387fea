package demo

import (
	"context"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/load/inject"
	"samphirehitch.example/samphirehitch/version/record"
)

// operator changes the keys and daemons of a deployment. It implements
// inject.Operator.
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
	return d.Put(ctx, record.Key{
		ID: d.Shape.KeyID(customer), Customer: d.Shape.CustomerID(customer),
		Withdrawn: withdrawn, Verifier: verifier,
	})
}

// StopDaemon implements inject.Operator.
func (o operator) StopDaemon(_ context.Context, daemon int, drain bool) error {
	entry := o.deployment.Daemons[daemon]
	if drain {
		return entry.Stop()
	}
	entry.Daemon.Abort()
	return entry.Stop()
}

// StartDaemon implements inject.Operator.
func (o operator) StartDaemon(context.Context, int) error {
	return eris.New("daemons of a demonstration are not started again")
}

// injector makes the deployment's stand-ins fail.
func (d *Deployment) injector() inject.Injector {
	return inject.Local{Operator: operator{d}, Groups: d.Groups, Store: d.Store.Store()}
}
