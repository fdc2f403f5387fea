package load

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/load/workload"
	"samphirehitch.example/samphirehitch/process/platform"
)

// Startup parameters by which a caller passes session state to a daemon.
const (
	parameterToken   = "samphirehitch.token"
	parameterSession = "samphirehitch.session"
	parameterMaxAge  = "samphirehitch.max_age"
)

// connectTimeout bounds one attempt to connect, and the close of a connection.
const connectTimeout = 2 * time.Second

// connectRequest describes a connection that a session opens.
type connectRequest struct {
	customer int
	service  *Service
	// daemon is the index of the daemon to connect to. The baseline, which
	// connects to the primary, ignores it.
	daemon int
	// sessionName is sent as samphirehitch.session unless it is empty.
	sessionName string
	// token is the session token that an earlier connection returned, or empty.
	token string
	// statesMaxAge says that the session sends samphirehitch.max_age.
	statesMaxAge bool
	mode         pgx.QueryExecMode
}

// dialer opens connections to a service, through the daemons or directly.
type dialer interface {
	// daemonCount returns the number of daemons, or of the baseline's limiters.
	daemonCount() int
	dial(ctx context.Context, request connectRequest) (*pgx.Conn, error)
	// admit applies the dialer's own rate limit to a request and reports
	// whether the request may be sent.
	admit(customer, daemon int) bool
}

// proxyDialer connects to the daemons, which enforce the rates themselves.
type proxyDialer struct {
	addresses []string
	logins    []Login
	maxAge    time.Duration
}

func (d *proxyDialer) daemonCount() int { return len(d.addresses) }

func (d *proxyDialer) admit(int, int) bool { return true }

func (d *proxyDialer) dial(ctx context.Context, request connectRequest) (*pgx.Conn, error) {
	cfg, err := connConfig(d.addresses[request.daemon:request.daemon+1], request.service.Database, d.logins[request.customer])
	if err != nil {
		return nil, err
	}
	cfg.DefaultQueryExecMode = request.mode
	if request.token != "" {
		cfg.RuntimeParams[parameterToken] = request.token
	}
	if request.sessionName != "" {
		cfg.RuntimeParams[parameterSession] = request.sessionName
	}
	if request.statesMaxAge {
		cfg.RuntimeParams[parameterMaxAge] = d.maxAge.String()
	}
	return connect(ctx, cfg)
}

// directDialer connects to the primary without a daemon. It has as many limiters
// as there are daemons; at each of them every customer has a token bucket with an
// equal share of its rate and burst.
type directDialer struct {
	// limiters is indexed by limiter, then by customer.
	limiters [][]*limiter
}

func newDirectDialer(cfg workload.Config, daemons int, clock func() time.Duration) *directDialer {
	d := &directDialer{}
	share := 1 / float64(daemons)
	for range daemons {
		var buckets []*limiter
		for _, customer := range cfg.Customers {
			buckets = append(buckets, newLimiter(customer.LimitRate*share, customer.LimitBurst*share, clock))
		}
		d.limiters = append(d.limiters, buckets)
	}
	return d
}

func (d *directDialer) daemonCount() int { return len(d.limiters) }

func (d *directDialer) admit(customer, daemon int) bool {
	return d.limiters[daemon][customer].allow()
}

func (d *directDialer) dial(ctx context.Context, request connectRequest) (*pgx.Conn, error) {
	cfg, err := primaryConfig(request.service)
	if err != nil {
		return nil, err
	}
	cfg.DefaultQueryExecMode = request.mode
	return connect(ctx, cfg)
}

// primaryConfig returns a configuration with which the driver tries the service's
// targets until it reaches the primary.
func primaryConfig(service *Service) (*pgx.ConnConfig, error) {
	cfg, err := connConfig(targetAddresses(service.Targets), service.TargetDatabase, service.TargetLogin)
	if err != nil {
		return nil, err
	}
	cfg.ValidateConnect = pgconn.ValidateConnectTargetSessionAttrsPrimary
	return cfg, nil
}

func targetAddresses(targets []platform.Target) []string {
	var addresses []string
	for _, target := range targets {
		addresses = append(addresses, target.Address)
	}
	return addresses
}

// connConfig returns a configuration that tries the addresses, host:port, in order.
func connConfig(addresses []string, database string, login Login) (*pgx.ConnConfig, error) {
	var hosts, ports []string
	for _, address := range addresses {
		host, port, err := net.SplitHostPort(address)
		if err != nil {
			return nil, eris.Wrapf(err, "split address %s", address)
		}
		hosts = append(hosts, host)
		ports = append(ports, port)
	}
	cfg, err := pgx.ParseConfig(fmt.Sprintf("host=%s port=%s sslmode=disable", strings.Join(hosts, ","), strings.Join(ports, ",")))
	if err != nil {
		return nil, eris.Wrap(err, "build the connection configuration")
	}
	cfg.User = login.User
	cfg.Password = login.Password
	cfg.Database = database
	cfg.ConnectTimeout = connectTimeout
	return cfg, nil
}

func connect(ctx context.Context, cfg *pgx.ConnConfig) (*pgx.Conn, error) {
	conn, err := pgx.ConnectConfig(ctx, cfg)
	return conn, eris.Wrapf(err, "connect to %s:%d", cfg.Host, cfg.Port)
}
