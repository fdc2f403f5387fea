package demo

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/daemon"
	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/settings"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/standin/group"
	"samphirehitch.example/samphirehitch/standin/kv"
	"samphirehitch.example/samphirehitch/version/record"
)

// Login of the daemons at the stand-in targets.
const (
	credentialName = "targets"
	targetUser     = "proxy"
	targetPassword = "proxy-password"
	databaseName   = "main"
)

// readyInterval is the time between two looks at a daemon's readiness.
const readyInterval = 10 * time.Millisecond

// Deployment is a running deployment. Close ends it.
type Deployment struct {
	Shape   Shape
	Store   *kv.Server
	Groups  []*group.Group
	Daemons []*Entry
	// Secrets holds each customer's key secret, by the customer's number.
	Secrets []string
	logger  logr.Logger
	clock   clock.Clock
}

// Entry is one running daemon.
type Entry struct {
	Daemon *daemon.Daemon
	done   chan struct{}
	err    error
	stop   sync.Once
}

// start runs the daemon.
func (e *Entry) start() {
	go func() {
		defer close(e.done)
		e.err = e.Daemon.Run()
	}()
}

// Stop drains the daemon and waits for its end.
func (e *Entry) Stop() error {
	e.stop.Do(func() { e.Daemon.Stop(nil) })
	<-e.done
	if daemon.IsStop(e.err) {
		return nil
	}
	return e.err
}

// Start runs a deployment and writes its records.
func Start(ctx context.Context, shape Shape, logger logr.Logger) (*Deployment, error) {
	d := &Deployment{Shape: shape, logger: logger, clock: clock.System()}
	if err := d.startStandIns(); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.writeRecords(ctx); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.startDaemons(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startStandIns() error {
	var err error
	if d.Store, err = kv.Start(kv.Config{Store: memstore.Config{Clock: d.clock}, Log: d.logger}); err != nil {
		return err
	}
	d.Groups, err = startGroups(d)
	return err
}

// startGroups starts a group for each service of the shape.
func startGroups(d *Deployment) ([]*group.Group, error) {
	var groups []*group.Group
	for i := range d.Shape.Services {
		members := group.Targets(string(d.Shape.ServiceID(i)), d.Shape.TargetsPerUnit, d.Shape.Domains...)
		g, err := group.Start(group.Config{
			Members: members, FirstPrimary: members[0].ID,
			Slots: d.Shape.Slots, Connections: d.Shape.Connections,
			ConnectCost: d.Shape.ConnectCost, ServiceTime: d.Shape.ServiceTime,
			User: targetUser, Password: targetPassword, Clock: d.clock, Log: d.logger,
		})
		if err != nil {
			closeGroups(groups)
			return nil, err
		}
		groups = append(groups, g)
	}
	return groups, nil
}

// writeRecords writes a record of each customer, key, limit, service and route.
func (d *Deployment) writeRecords(ctx context.Context) error {
	values, err := d.records()
	if err != nil {
		return err
	}
	for _, value := range values {
		if err := d.Put(ctx, value); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) records() ([]record.Value, error) {
	var values []record.Value
	for i := range d.Shape.Customers {
		secret := record.NewSecret()
		verifier, err := record.NewVerifier(secret)
		if err != nil {
			return nil, err
		}
		d.Secrets = append(d.Secrets, secret)
		customer := d.Shape.CustomerID(i)
		values = append(values,
			record.Customer{ID: customer, Name: string(customer)},
			record.Key{ID: d.Shape.KeyID(i), Customer: customer, Verifier: verifier},
			record.Limit{Customer: customer, Rate: d.Shape.Rate, Burst: d.Shape.Burst})
	}
	for i, g := range d.Groups {
		id := d.Shape.ServiceID(i)
		service := record.Service{
			ID: id, Database: databaseName, Credential: credentialName,
			Connections: d.Shape.Connections, Slots: cmp.Or(d.Shape.PoolSlots, d.Shape.Slots),
		}
		for _, target := range g.Targets() {
			service.Targets = append(service.Targets, record.ServiceTarget{Target: target})
		}
		values = append(values, service, record.Route{Database: string(id), Service: id, Access: record.AccessKeyed})
	}
	return values, nil
}

// Put writes a record, whatever the store holds for it.
func (d *Deployment) Put(ctx context.Context, value record.Value) error {
	data, err := record.New(value).Encode()
	if err != nil {
		return err
	}
	key := "config/" + string(value.Kind()) + "/" + value.RecordID()
	held, err := d.Store.Store().Get(ctx, key)
	if err != nil && !eris.Is(err, store.ErrNotFound) {
		return err
	}
	_, err = d.Store.Store().CompareAndSwap(ctx, store.Swap{Key: key, Expect: held.Revision, Value: data})
	return eris.Wrapf(err, "write record %s", key)
}

// startDaemons starts every daemon. The platform lists all of them first, as it
// does when a deployment is rolled out.
func (d *Deployment) startDaemons() error {
	for i := range d.Shape.Daemons {
		if _, err := d.addDaemon(topology.InstanceID(fmt.Sprintf("entry-%d", i+1)), d.Shape.domain(i)); err != nil {
			return err
		}
	}
	for _, e := range d.Daemons {
		e.start()
	}
	return nil
}

// StartDaemon adds a daemon to the deployment. Seeds are peers to dial before the
// store has answered.
func (d *Deployment) StartDaemon(id topology.InstanceID, domain topology.FailureDomain, seeds ...string) (*Entry, error) {
	e, err := d.addDaemon(id, domain, seeds...)
	if err != nil {
		return nil, err
	}
	e.start()
	return e, nil
}

// addDaemon makes a daemon and lists it with the platform.
func (d *Deployment) addDaemon(id topology.InstanceID, domain topology.FailureDomain, seeds ...string) (*Entry, error) {
	s, err := settings.Parse([]byte(fmt.Sprintf(`{
		"instance": %q, "failure_domain": %q,
		"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"},
		"store": {"address": %q},
		"credentials": {%q: {"user": %q, "password": %q}}
	}`, id, domain, d.Store.Address(), credentialName, targetUser, targetPassword)))
	if err != nil {
		return nil, err
	}
	s.Seeds = seeds
	made, err := daemon.New(daemon.Options{Settings: s, Platform: daemon.Dial(s), Logger: d.logger, Clock: d.clock})
	if err != nil {
		return nil, err
	}
	d.Store.Store().PutInstance(platform.Instance{
		ID: id, Peer: made.PeerAddress().String(), FailureDomain: domain, State: platform.InstanceLive,
	})
	e := &Entry{Daemon: made, done: make(chan struct{})}
	d.Daemons = append(d.Daemons, e)
	return e, nil
}

// AwaitReady waits until every daemon is ready to serve callers.
func (d *Deployment) AwaitReady(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for _, e := range d.Daemons {
		for e.Daemon.Ready() != nil {
			select {
			case <-ctx.Done():
				return eris.Wrap(e.Daemon.Ready(), "daemon is not ready")
			case <-ticker.C:
			}
		}
	}
	return nil
}

// ConnString is where the customer's callers reach a service through a daemon.
func (d *Deployment) ConnString(entry, customer, service int) string {
	host, port, _ := net.SplitHostPort(d.Daemons[entry].Daemon.CallerAddress().String())
	return fmt.Sprintf("host=%s port=%s user=%s password=%s dbname=%s sslmode=disable",
		host, port, d.Shape.KeyID(customer), d.Secrets[customer], d.Shape.ServiceID(service))
}

// connectTarget connects to a target as a daemon does.
func (d *Deployment) connectTarget(address string) (*pgx.Conn, error) {
	host, port, _ := net.SplitHostPort(address)
	return pgx.Connect(context.Background(), fmt.Sprintf("host=%s port=%s user=%s password=%s dbname=%s sslmode=disable",
		host, port, targetUser, targetPassword, databaseName))
}

// Close stops the daemons, then the stand-ins.
func (d *Deployment) Close() {
	var stops sync.WaitGroup
	for _, e := range d.Daemons {
		stops.Go(func() { _ = e.Stop() })
	}
	stops.Wait()
	closeGroups(d.Groups)
	if d.Store != nil {
		d.Store.Close()
	}
}
