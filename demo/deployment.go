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

// Login of the daemons to the stand-in targets.
const (
	targetCredential = "targets"
	targetUser       = "proxy"
	targetPassword   = "proxy-password"
	databaseName     = "main"
)

// readyPollInterval is the interval at which a daemon's readiness is checked.
const readyPollInterval = 10 * time.Millisecond

// Deployment is a running deployment. Close stops it. It is not safe for concurrent use,
// except for reads of its fields while no daemon is added.
type Deployment struct {
	Shape Shape
	Store *kv.Server
	// Groups holds the database group of each service, by the service's index.
	Groups  []*group.Group
	Daemons []*RunningDaemon
	// Secrets holds the secret of each customer's key, by the customer's index.
	Secrets []string
	logger  logr.Logger
	clock   clock.Clock
}

// RunningDaemon is a daemon of a deployment and the goroutine that runs it.
type RunningDaemon struct {
	Daemon *daemon.Daemon
	// done is closed when Run has returned; err is its result and is read after that.
	done chan struct{}
	err  error
	stop sync.Once
}

// start runs the daemon in a goroutine.
func (r *RunningDaemon) start() {
	go func() {
		defer close(r.done)
		r.err = r.Daemon.Run()
	}()
}

// Stop drains the daemon and waits until it has stopped. It returns an error if the
// daemon failed.
func (r *RunningDaemon) Stop() error {
	r.stop.Do(func() { r.Daemon.Stop(nil) })
	<-r.done
	if daemon.IsStop(r.err) {
		return nil
	}
	return r.err
}

// Start starts the stand-ins, writes the configuration records and starts the daemons.
// It does not wait until the daemons are ready.
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

// startStandIns starts the store and the database groups.
func (d *Deployment) startStandIns() error {
	var err error
	if d.Store, err = kv.Start(kv.Config{Store: memstore.Config{Clock: d.clock}, Log: d.logger}); err != nil {
		return err
	}
	d.Groups, err = startGroups(d)
	return err
}

// startGroups starts a database group for each service of the deployment's shape, spread
// over its failure domains.
func startGroups(d *Deployment) ([]*group.Group, error) {
	var groups []*group.Group
	for i := range d.Shape.Services {
		members := group.NewTargets(string(d.Shape.ServiceID(i)), d.Shape.TargetsPerService, d.Shape.Domains...)
		g, err := group.Start(group.Config{
			Members: members, FirstPrimary: members[0].ID,
			Slots: d.Shape.Slots, MaxConnections: d.Shape.Connections,
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

// writeRecords writes the configuration records to the store.
func (d *Deployment) writeRecords(ctx context.Context) error {
	values, err := d.buildRecords()
	if err != nil {
		return err
	}
	for _, value := range values {
		if err := d.PutRecord(ctx, value); err != nil {
			return err
		}
	}
	return nil
}

// buildRecords returns a record for each customer, key, rate limit, service and route.
// It generates the customers' secrets.
func (d *Deployment) buildRecords() ([]record.Value, error) {
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
			ID: id, Database: databaseName, Credential: targetCredential,
			Connections: d.Shape.Connections, Slots: cmp.Or(d.Shape.PoolSlots, d.Shape.Slots),
		}
		for _, target := range g.Targets() {
			service.Targets = append(service.Targets, record.ServiceTarget{Target: target})
		}
		values = append(values, service, record.Route{Database: string(id), Service: id, Access: record.AccessKeyed})
	}
	return values, nil
}

// PutRecord writes a configuration record and overwrites the one in the store, if any.
func (d *Deployment) PutRecord(ctx context.Context, value record.Value) error {
	data, err := record.New(value).Encode()
	if err != nil {
		return err
	}
	key := "config/" + string(value.Kind()) + "/" + value.RecordID()
	current, err := d.Store.Store().Get(ctx, key)
	if err != nil && !eris.Is(err, store.ErrNotFound) {
		return err
	}
	_, err = d.Store.Store().CompareAndSwap(ctx, store.Swap{Key: key, Expect: current.Revision, Value: data})
	return eris.Wrapf(err, "write record %s", key)
}

// startDaemons starts every daemon of the shape. All of them are listed with the platform
// before the first one runs, as when a deployment is rolled out.
func (d *Deployment) startDaemons() error {
	for i := range d.Shape.Daemons {
		if _, err := d.createDaemon(topology.InstanceID(fmt.Sprintf("entry-%d", i+1)), d.Shape.failureDomain(i)); err != nil {
			return err
		}
	}
	for _, r := range d.Daemons {
		r.start()
	}
	return nil
}

// StartDaemon adds a daemon to the deployment and starts it. Seeds are addresses of peers
// that it dials before it has read the list of instances from the platform.
func (d *Deployment) StartDaemon(id topology.InstanceID, domain topology.FailureDomain, seeds ...string) (*RunningDaemon, error) {
	r, err := d.createDaemon(id, domain, seeds...)
	if err != nil {
		return nil, err
	}
	r.start()
	return r, nil
}

// createDaemon creates a daemon, with listeners on free loopback ports, and adds it to
// the platform's list of instances. The caller starts it.
func (d *Deployment) createDaemon(id topology.InstanceID, domain topology.FailureDomain, seeds ...string) (*RunningDaemon, error) {
	s, err := settings.Parse([]byte(fmt.Sprintf(`{
		"instance": %q, "failure_domain": %q,
		"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"},
		"store": {"address": %q},
		"credentials": {%q: {"user": %q, "password": %q}}
	}`, id, domain, d.Store.Address(), targetCredential, targetUser, targetPassword)))
	if err != nil {
		return nil, err
	}
	s.Seeds = seeds
	if d.Shape.DrainTimeout > 0 {
		s.DrainTimeoutMillis = int(d.Shape.DrainTimeout.Milliseconds())
	}
	instance, err := daemon.New(daemon.Options{Settings: s, Platform: daemon.Dial(s), Logger: d.logger, Clock: d.clock})
	if err != nil {
		return nil, err
	}
	d.Store.Store().PutInstance(platform.Instance{
		ID: id, Peer: instance.PeerAddress().String(), FailureDomain: domain, State: platform.InstanceLive,
	})
	r := &RunningDaemon{Daemon: instance, done: make(chan struct{})}
	d.Daemons = append(d.Daemons, r)
	return r, nil
}

// AwaitReady waits until every daemon is ready to serve callers. After the timeout it
// returns the reason why a daemon is not ready.
func (d *Deployment) AwaitReady(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for _, r := range d.Daemons {
		for r.Daemon.Ready() != nil {
			select {
			case <-ctx.Done():
				return eris.Wrap(r.Daemon.Ready(), "daemon is not ready")
			case <-ticker.C:
			}
		}
	}
	return nil
}

// ConnString returns the connection string with which a customer's callers connect to a
// service through a daemon. All three are given by index.
func (d *Deployment) ConnString(daemonIndex, customer, service int) string {
	host, port, _ := net.SplitHostPort(d.Daemons[daemonIndex].Daemon.CallerAddress().String())
	return fmt.Sprintf("host=%s port=%s user=%s password=%s dbname=%s sslmode=disable",
		host, port, d.Shape.KeyID(customer), d.Secrets[customer], d.Shape.ServiceID(service))
}

// connectTarget connects directly to a target, with the login that the daemons use.
func (d *Deployment) connectTarget(address string) (*pgx.Conn, error) {
	host, port, _ := net.SplitHostPort(address)
	return pgx.Connect(context.Background(), fmt.Sprintf("host=%s port=%s user=%s password=%s dbname=%s sslmode=disable",
		host, port, targetUser, targetPassword, databaseName))
}

// Close drains and stops all daemons and then stops the stand-ins.
func (d *Deployment) Close() {
	var stops sync.WaitGroup
	for _, r := range d.Daemons {
		stops.Go(func() { _ = r.Stop() })
	}
	stops.Wait()
	closeGroups(d.Groups)
	if d.Store != nil {
		d.Store.Close()
	}
}
