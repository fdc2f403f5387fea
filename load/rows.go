package load

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/topology"
)

// seedServices writes the counters that the sessions increment directly to the
// primaries and waits until every target shows them.
func (p *phase) seedServices(ctx context.Context, sessions []*session) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	for i := range p.services {
		var rows strings.Builder
		for n := range p.cfg.Load.SharedCounters {
			fmt.Fprintf(&rows, "%s\t0\n", p.sharedCounterKey(n))
		}
		for _, s := range sessions {
			if s.service == i {
				fmt.Fprintf(&rows, "%s\t0\n", s.counterKey())
			}
		}
		if err := p.seedService(ctx, &p.services[i], rows.String()); err != nil {
			return err
		}
	}
	return nil
}

// seedService writes rows, in COPY text format, to one service's primary.
func (p *phase) seedService(ctx context.Context, service *Service, rows string) error {
	cfg, err := primaryConfig(service)
	if err != nil {
		return err
	}
	conn, err := connect(ctx, cfg)
	if err != nil {
		return err
	}
	defer conn.Close(context.WithoutCancel(ctx))
	if _, err := conn.PgConn().CopyFrom(ctx, strings.NewReader(rows), "COPY kv FROM STDIN"); err != nil {
		return eris.Wrapf(err, "write the initial rows of %s", service.Database)
	}
	for _, target := range service.Targets {
		if err := p.awaitSeedRows(ctx, service, target.Address); err != nil {
			return err
		}
	}
	return nil
}

func (p *phase) awaitSeedRows(ctx context.Context, service *Service, address string) error {
	for {
		rows, err := readRows(ctx, service, address)
		if err == nil {
			if _, found := rows[p.sharedCounterKey(0)]; found {
				return nil
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "wait for the initial rows at %s", address)
		}
	}
}

// readRows returns all rows that a target holds, as a map from key to value.
func readRows(ctx context.Context, service *Service, address string) (map[string]string, error) {
	cfg, err := connConfig([]string{address}, service.TargetDatabase, service.TargetLogin)
	if err != nil {
		return nil, err
	}
	conn, err := connect(ctx, cfg)
	if err != nil {
		return nil, err
	}
	defer conn.Close(context.WithoutCancel(ctx))
	result, err := conn.Query(ctx, "SELECT key, value FROM kv")
	if err != nil {
		return nil, eris.Wrapf(err, "read the rows at %s", address)
	}
	rows := make(map[string]string)
	var key, value string
	_, err = pgx.ForEachRow(result, []any{&key, &value}, func() error {
		rows[key] = value
		return nil
	})
	return rows, eris.Wrapf(err, "read the rows at %s", address)
}

// checkFinalState has the oracles compare each primary's rows with the history.
func (p *phase) checkFinalState() error {
	ctx, cancel := context.WithTimeout(context.Background(), setupTimeout)
	defer cancel()
	for i := range p.services {
		service := &p.services[i]
		address, err := p.awaitPrimary(ctx, service)
		if err != nil {
			return err
		}
		rows, err := readRows(ctx, service, address)
		if err != nil {
			return err
		}
		for key := range rows {
			if !p.ownsKey(key) {
				delete(rows, key)
			}
		}
		p.oracles[i].CheckFinalState(rows, p.now())
	}
	return nil
}

// awaitPrimary polls the targets until a majority of them reports the highest term
// and that term has a primary, and returns the primary's address.
func (p *phase) awaitPrimary(ctx context.Context, service *Service) (string, error) {
	for {
		if address, found := p.pollPrimary(ctx, service); found {
			return address, nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return "", eris.Wrapf(ctx.Err(), "wait for a primary of %s", service.Database)
		}
	}
}

// pollPrimary reads the status of every target once and reports whether a primary
// with a majority was found.
func (p *phase) pollPrimary(ctx context.Context, service *Service) (string, bool) {
	const statusTimeout = 500 * time.Millisecond
	var address string
	var highest topology.Term
	responses := make(map[topology.Term]int)
	for _, target := range service.Targets {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		status, err := p.env.Groups.Status(ctx, target)
		cancel()
		if err != nil {
			continue
		}
		responses[status.Term]++
		highest = max(highest, status.Term)
		if status.Role == topology.RolePrimary && status.Term == highest {
			address = target.Address
		}
	}
	hasMajority := responses[highest] >= topology.Majority(len(service.Targets))
	return address, address != "" && hasMajority
}
