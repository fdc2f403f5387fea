package e2e

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/lib/pq"
)

// Statements that both drivers send.
const (
	incrementSQL = "UPDATE kv SET value = value + 1 WHERE key = $1"
	insertSQL    = "INSERT INTO kv VALUES ($1, $2)"
	readSQL      = "SELECT value FROM kv WHERE key = $1"
	copySQL      = "COPY kv (key, value) FROM STDIN"
	sleepSQL     = "SELECT pg_sleep(1)"
)

// session is a connection of one of the drivers.
type session interface {
	// increment adds one to a counter, with a statement that was prepared when the session
	// began.
	increment(counter string) error
	// insert adds a row.
	insert(key string) error
	read(key string) (string, error)
	// transaction adds a row and one to a counter. It rests between the statements until
	// rest returns.
	transaction(key, counter string, rest func()) error
	// copyIn adds rows by COPY and rests before the last one.
	copyIn(keys []string, rest func()) error
	// sleep runs a statement for a second.
	sleep() error
	wire() *wireConn
	close()
}

// openSession connects by a driver and prepares the statement of increment.
type openSession func(address, user, password, database string) (session, error)

// driver is a client library.
type driver struct {
	name string
	open openSession
}

var drivers = []driver{{"pgx", openPGX}, {"lib/pq", openPQ}}

// counter returns the name of the counter of one of the driver's clients.
func (d driver) counter(client int) string { return fmt.Sprintf("%s-%d", d.name, client) }

// heldCounter returns the name of the counter of the transactions that are held through stops.
func (d driver) heldCounter() string { return d.name + "-held" }

func connString(address, user, password, database string) string {
	host, port, _ := net.SplitHostPort(address)
	return fmt.Sprintf("host=%s port=%s user=%s password=%s dbname=%s sslmode=disable", host, port, user, password, database)
}

// pgxSession is a connection of pgx.
type pgxSession struct {
	conn *pgx.Conn
	wired
}

// wired holds the connection below a driver's.
type wired struct{ conn *wireConn }

func (w wired) wire() *wireConn { return w.conn }

func openPGX(address, user, password, database string) (session, error) {
	cfg, err := pgx.ParseConfig(connString(address, user, password, database))
	if err != nil {
		return nil, err
	}
	s := &pgxSession{}
	cfg.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		s.wired.conn, err = dialWire(ctx, network, address)
		return s.wired.conn, err
	}
	if s.conn, err = pgx.ConnectConfig(context.Background(), cfg); err != nil {
		return nil, err
	}
	if _, err = s.conn.Prepare(context.Background(), "increment", incrementSQL); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *pgxSession) increment(counter string) error {
	_, err := s.conn.Exec(context.Background(), "increment", counter)
	return err
}

func (s *pgxSession) insert(key string) error {
	_, err := s.conn.Exec(context.Background(), insertSQL, key, key)
	return err
}

func (s *pgxSession) read(key string) (value string, err error) {
	err = s.conn.QueryRow(context.Background(), readSQL, key).Scan(&value)
	return value, err
}

func (s *pgxSession) transaction(key, counter string, rest func()) error {
	return pgx.BeginFunc(context.Background(), s.conn, func(pgx.Tx) error {
		if err := s.insert(key); err != nil {
			return err
		}
		if err := s.increment(counter); err != nil {
			return err
		}
		rest()
		return nil
	})
}

func (s *pgxSession) copyIn(keys []string, rest func()) error {
	reader, writer := io.Pipe()
	var rows sync.WaitGroup
	defer rows.Wait() // rest must not be called once copyIn has returned
	rows.Go(func() {
		for i, key := range keys {
			if i == len(keys)-1 {
				rest()
			}
			_, _ = fmt.Fprintf(writer, "%s\t%s\n", key, key) // fails once the COPY has ended
		}
		_ = writer.Close() // never fails
	})
	_, err := s.conn.PgConn().CopyFrom(context.Background(), reader, copySQL)
	_ = reader.Close() // never fails
	return err
}

func (s *pgxSession) sleep() error {
	_, err := s.conn.Exec(context.Background(), sleepSQL)
	return err
}

func (s *pgxSession) close() { _ = s.conn.Close(context.Background()) } // the wire is judged

// pqSession is a connection of lib/pq.
type pqSession struct {
	pool     *sql.DB
	conn     *sql.Conn
	prepared *sql.Stmt
	wired
}

// pqDialer passes on the connection that it opens.
type pqDialer struct{ session *pqSession }

// Dial implements pq.Dialer.
func (d pqDialer) Dial(network, address string) (net.Conn, error) {
	return d.DialTimeout(network, address, time.Minute)
}

// DialTimeout implements pq.Dialer.
func (d pqDialer) DialTimeout(network, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := dialWire(ctx, network, address)
	d.session.wired.conn = conn
	return conn, err
}

func openPQ(address, user, password, database string) (session, error) {
	connector, err := pq.NewConnector(connString(address, user, password, database))
	if err != nil {
		return nil, err
	}
	s := &pqSession{}
	connector.Dialer(pqDialer{s})
	s.pool = sql.OpenDB(connector)
	if s.conn, err = s.pool.Conn(context.Background()); err == nil {
		s.prepared, err = s.conn.PrepareContext(context.Background(), incrementSQL)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *pqSession) increment(counter string) error {
	_, err := s.prepared.Exec(counter)
	return err
}

func (s *pqSession) insert(key string) error {
	_, err := s.conn.ExecContext(context.Background(), insertSQL, key, key)
	return err
}

func (s *pqSession) read(key string) (value string, err error) {
	err = s.conn.QueryRowContext(context.Background(), readSQL, key).Scan(&value)
	return value, err
}

// inTransaction runs body in a transaction, and commits it if body succeeds.
func (s *pqSession) inTransaction(body func(*sql.Tx) error) error {
	tx, err := s.conn.BeginTx(context.Background(), nil)
	if err != nil {
		return err
	}
	if err := body(tx); err != nil {
		return errors.Join(err, tx.Rollback())
	}
	return tx.Commit()
}

func (s *pqSession) transaction(key, counter string, rest func()) error {
	return s.inTransaction(func(tx *sql.Tx) error {
		if _, err := tx.Exec(insertSQL, key, key); err != nil {
			return err
		}
		if _, err := tx.Stmt(s.prepared).Exec(counter); err != nil {
			return err
		}
		rest()
		return nil
	})
}

// copyIn copies in a transaction, as lib/pq requires.
func (s *pqSession) copyIn(keys []string, rest func()) error {
	return s.inTransaction(func(tx *sql.Tx) error {
		statement, err := tx.Prepare(copySQL)
		if err != nil {
			return err
		}
		for i, key := range keys {
			if i == len(keys)-1 {
				rest()
			}
			if _, err := statement.Exec(key, key); err != nil {
				return errors.Join(err, statement.Close())
			}
		}
		_, err = statement.Exec()
		return errors.Join(err, statement.Close())
	})
}

func (s *pqSession) sleep() error {
	_, err := s.conn.ExecContext(context.Background(), sleepSQL)
	return err
}

// close closes the connection; what matters of it is seen on the wire.
func (s *pqSession) close() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
	_ = s.pool.Close()
}

// sqlState returns the SQLSTATE of an error response, empty for any other error.
func sqlState(err error) string {
	var response interface{ SQLState() string }
	if errors.As(err, &response) {
		return strings.TrimSpace(response.SQLState())
	}
	return ""
}
