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

// Start-up parameters that samphirehitch takes.
const (
	parameterToken   = "samphirehitch.token"
	parameterSession = "samphirehitch.session"
	parameterAge     = "samphirehitch.max_age"
)

// connectTimeout bounds one attempt to connect.
const connectTimeout = 2 * time.Second

// connectRequest names a connection that a session wants.
type connectRequest struct {
	customer int
	service  *Service
	// entry is the number of the daemon, which the baseline ignores.
	entry int
	// name is what the session calls itself, or empty.
	name string
	// token is what an earlier connection gave, or empty.
	token string
	aged  bool
	mode  pgx.QueryExecMode
}

// dialer is a way of reaching a service.
type dialer interface {
	// entryCount returns how many daemons, or limiters, there are.
	entryCount() int
	dial(ctx context.Context, request connectRequest) (*pgx.Conn, error)
	// admit reports whether the way itself lets a request pass.
	admit(customer, entry int) bool
}

// proxyDialer connects through the daemons.
type proxyDialer struct {
	entries []string
	logins  []Login
	age     time.Duration
}

func (d *proxyDialer) entryCount() int { return len(d.entries) }

func (d *proxyDialer) admit(int, int) bool { return true }

func (d *proxyDialer) dial(ctx context.Context, request connectRequest) (*pgx.Conn, error) {
	cfg, err := connConfig(d.entries[request.entry:request.entry+1], request.service.Database, d.logins[request.customer])
	if err != nil {
		return nil, err
	}
	cfg.DefaultQueryExecMode = request.mode
	if request.token != "" {
		cfg.RuntimeParams[parameterToken] = request.token
	}
	if request.name != "" {
		cfg.RuntimeParams[parameterSession] = request.name
	}
	if request.aged {
		cfg.RuntimeParams[parameterAge] = d.age.String()
	}
	return connect(ctx, cfg)
}

// directDialer connects to the primary. Every customer has a bucket at each of
// the limiters, with an even part of its rate and burst.
type directDialer struct {
	limiters [][]*limiter
}

func newDirectDialer(cfg workload.Config, entries int, clock func() time.Duration) *directDialer {
	d := &directDialer{}
	part := 1 / float64(entries)
	for range entries {
		var row []*limiter
		for _, customer := range cfg.Customers {
			row = append(row, newLimiter(customer.LimitRate*part, customer.LimitBurst*part, clock))
		}
		d.limiters = append(d.limiters, row)
	}
	return d
}

func (d *directDialer) entryCount() int { return len(d.limiters) }

func (d *directDialer) admit(customer, entry int) bool {
	return d.limiters[entry][customer].allow()
}

func (d *directDialer) dial(ctx context.Context, request connectRequest) (*pgx.Conn, error) {
	cfg, err := primaryConfig(request.service)
	if err != nil {
		return nil, err
	}
	cfg.DefaultQueryExecMode = request.mode
	return connect(ctx, cfg)
}

// primaryConfig lets the driver look for the primary among a service's targets.
func primaryConfig(service *Service) (*pgx.ConnConfig, error) {
	cfg, err := connConfig(addresses(service.Targets), service.TargetDatabase, service.TargetLogin)
	if err != nil {
		return nil, err
	}
	cfg.ValidateConnect = pgconn.ValidateConnectTargetSessionAttrsPrimary
	return cfg, nil
}

func addresses(targets []platform.Target) []string {
	var list []string
	for _, target := range targets {
		list = append(list, target.Address)
	}
	return list
}

func connConfig(list []string, database string, login Login) (*pgx.ConnConfig, error) {
	var hosts, ports []string
	for _, address := range list {
		host, port, err := net.SplitHostPort(address)
		if err != nil {
			return nil, eris.Wrapf(err, "split address %s", address)
		}
		hosts = append(hosts, host)
		ports = append(ports, port)
	}
	cfg, err := pgx.ParseConfig(fmt.Sprintf("host=%s port=%s sslmode=disable", strings.Join(hosts, ","), strings.Join(ports, ",")))
	if err != nil {
		return nil, eris.Wrap(err, "set up a connection")
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
