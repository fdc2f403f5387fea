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

// prepare writes the counters that the sessions increment, straight to the
// primaries, and waits until every target has them.
func (p *phase) prepare(ctx context.Context, sessions []*session) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	for i := range p.services {
		var rows strings.Builder
		for n := range p.cfg.Load.SharedCounters {
			fmt.Fprintf(&rows, "%s\t0\n", p.sharedKey(n))
		}
		for _, s := range sessions {
			if s.service == i {
				fmt.Fprintf(&rows, "%s\t0\n", s.counterKey())
			}
		}
		if err := p.seed(ctx, &p.services[i], rows.String()); err != nil {
			return err
		}
	}
	return nil
}

func (p *phase) seed(ctx context.Context, service *Service, rows string) error {
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
		return eris.Wrapf(err, "write the first rows of %s", service.Database)
	}
	for _, target := range service.Targets {
		if err := p.awaitRows(ctx, service, target.Address); err != nil {
			return err
		}
	}
	return nil
}

func (p *phase) awaitRows(ctx context.Context, service *Service, address string) error {
	for {
		rows, err := readRows(ctx, service, address)
		if err == nil {
			if _, found := rows[p.sharedKey(0)]; found {
				return nil
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "wait for the first rows at %s", address)
		}
	}
}

// readRows returns the rows that a target shows.
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
	answer, err := conn.Query(ctx, "SELECT key, value FROM kv")
	if err != nil {
		return nil, eris.Wrapf(err, "read the rows at %s", address)
	}
	rows := make(map[string]string)
	var key, value string
	_, err = pgx.ForEachRow(answer, []any{&key, &value}, func() error {
		rows[key] = value
		return nil
	})
	return rows, eris.Wrapf(err, "read the rows at %s", address)
}

// checkEnd compares the primaries' rows with the history.
func (p *phase) checkEnd() error {
	ctx, cancel := context.WithTimeout(context.Background(), setupTimeout)
	defer cancel()
	for i := range p.services {
		service := &p.services[i]
		address, err := p.primary(ctx, service)
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
		p.oracles[i].CheckEnd(rows, p.now())
	}
	return nil
}

// primary returns the address of the primary of the highest term, once a
// majority of the targets has followed it.
func (p *phase) primary(ctx context.Context, service *Service) (string, error) {
	for {
		if address, found := p.findPrimary(ctx, service); found {
			return address, nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return "", eris.Wrapf(ctx.Err(), "look for the primary of %s", service.Database)
		}
	}
}

func (p *phase) findPrimary(ctx context.Context, service *Service) (string, bool) {
	const statusTimeout = 500 * time.Millisecond
	var address string
	var highest topology.Term
	answers := make(map[topology.Term]int)
	for _, target := range service.Targets {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		status, err := p.env.Groups.Status(ctx, target)
		cancel()
		if err != nil {
			continue
		}
		answers[status.Term]++
		highest = max(highest, status.Term)
		if status.Role == topology.RolePrimary && status.Term == highest {
			address = target.Address
		}
	}
	followed := answers[highest] >= topology.Majority(len(service.Targets))
	return address, address != "" && followed
}
