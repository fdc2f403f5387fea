package caller

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestLogin runs logins with right and wrong input. Refusals are fatal.
func TestLogin(t *testing.T) {
	for name, test := range map[string]struct {
		user, secret, database string
		extra                  []string
		want                   string
	}{
		"right":             {testKey, testSecret, "ledger", nil, "ReadyForQuery"},
		"open":              {"", "", "open", nil, "ReadyForQuery"},
		"wrong secret":      {testKey, "x", "ledger", nil, "FATAL 28P01"},
		"unknown key":       {"x", testSecret, "ledger", nil, "FATAL 28P01"},
		"unknown database":  {testKey, testSecret, "x", nil, "FATAL 3D000"},
		"unproven database": {"x", testSecret, "x", nil, "FATAL 28P01"},
		"other customer":    {testKey, testSecret, "depot", nil, "FATAL 28000"},
		"bad token":         {testKey, testSecret, "ledger", []string{"samphirehitch.token", "bad"}, "FATAL 22023"},
		"bad age":           {testKey, testSecret, "ledger", []string{"samphirehitch.max_age", "soon"}, "FATAL 22023"},
		"unknown setting":   {testKey, testSecret, "ledger", []string{"wal_level", "x"}, "FATAL 0A000"},
		"encoding":          {testKey, testSecret, "ledger", []string{"client_encoding", "LATIN1"}, "FATAL 0A000"},
		"options":           {testKey, testSecret, "ledger", []string{"options", "-c search_path=x -csamphirehitch.max_age=5s --work_mem=1MB"}, "ReadyForQuery"},
		"bad options":       {testKey, testSecret, "ledger", []string{"options", "-c"}, "FATAL 22023"},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newTestServer(t, Config{})
			c := dial(t, s)
			c.login(test.user, test.secret, test.database, test.extra...)
			if got := c.seen[len(c.seen)-1]; got != test.want {
				t.Fatalf("got %v, want %s", c.seen, test.want)
			}
			if test.want != "ReadyForQuery" && c.receive() != nil {
				t.Errorf("the connection stays open after %s", test.want)
			}
		})
	}
}

// TestUnknownKeyLooksLikeWrongSecret compares the messages and their sizes, and
// the salt shown for an unknown key at two attempts.
func TestUnknownKeyLooksLikeWrongSecret(t *testing.T) {
	s, _ := newTestServer(t, Config{})
	attempt := func(user string) (*testCaller, string, int) {
		c := dial(t, s)
		c.write(startup(user, "ledger"))
		c.receive()
		c.frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte("n,,n=,r=nonce")})
		if err := c.frontend.Flush(); err != nil {
			t.Fatal(err)
		}
		challenge := string(c.receive().(*pgproto3.AuthenticationSASLContinue).Data)
		c.frontend.Send(&pgproto3.SASLResponse{Data: []byte("c=biws,r=nonce,p=AAAA")})
		if err := c.frontend.Flush(); err != nil {
			t.Fatal(err)
		}
		c.receive()
		// The server's nonce is 32 characters after the caller's.
		return c, challenge[len("r=nonce")+32:], len(challenge)
	}
	known, _, knownSize := attempt(testKey)
	unknown, salt, unknownSize := attempt("x")
	_, again, _ := attempt("x")
	if !slices.Equal(known.seen, unknown.seen) || knownSize != unknownSize {
		t.Errorf("wrong secret: %v (%d bytes), unknown key: %v (%d bytes)", known.seen, knownSize, unknown.seen, unknownSize)
	}
	if salt != again {
		t.Errorf("an unknown key shows %s, then %s", salt, again)
	}
}

// TestWithdrawnKeyIsToldApartOnlyWhenProven checks that the withdrawal is told
// to the holder of the secret only.
func TestWithdrawnKeyIsToldApartOnlyWhenProven(t *testing.T) {
	s, directory := newTestServer(t, Config{})
	directory.withdrawn.Store(true)
	for secret, want := range map[string]string{testSecret: "FATAL 28000", "x": "FATAL 28P01"} {
		c := dial(t, s)
		c.login(testKey, secret, "ledger")
		if got := c.seen[len(c.seen)-1]; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

// TestKeylessSessionKeepsItsCustomer checks that a user name on an open route
// gives no customer.
func TestKeylessSessionKeepsItsCustomer(t *testing.T) {
	s, _ := newTestServer(t, Config{})
	c := dial(t, s)
	c.login(testKey, "", "open")
	if got := c.ask(); got != "public" {
		t.Errorf("an open route serves customer %q", got)
	}
}

// TestSlowLogin gives up on a caller that says nothing, or stops half-way.
func TestSlowLogin(t *testing.T) {
	for name, first := range map[string][]byte{"silent": nil, "half a header": {0, 0}, "startup only": startup(testKey, "ledger")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := newTestServer(t, Config{LoginTimeout: 3 * time.Second})
				c := dial(t, s)
				began := time.Now()
				c.write(first)
				for c.receive() != nil {
				}
				if took := time.Since(began); took != 3*time.Second {
					t.Errorf("closed after %v, want 3s", took)
				}
			})
		})
	}
}

// TestLoginFlood fills the places for logins. Sessions go on, and a place that
// comes free is used.
func TestLoginFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newTestServer(t, Config{MaxLogins: 2})
		ready := dial(t, s)
		ready.login(testKey, testSecret, "ledger")
		first, second := dial(t, s), dial(t, s)
		synctest.Wait()
		third := dial(t, s)
		third.receive()
		if third.seen[0] != "FATAL 53300" {
			t.Errorf("got %v over the bound", third.seen)
		}
		if got := ready.ask(); got != "mill" {
			t.Errorf("open session got %q", got)
		}
		_ = first.socket.Close()
		synctest.Wait()
		fourth := dial(t, s)
		fourth.login(testKey, testSecret, "ledger")
		if got := fourth.ask(); got != "mill" {
			t.Errorf("login after the flood got %q", got)
		}
		for _, c := range []*testCaller{ready, second, third, fourth} {
			_ = c.socket.Close()
		}
	})
}

// TestIdleTransaction ends a session that keeps a transaction open and says
// nothing, but not one that is idle outside of transactions.
func TestIdleTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newTestServer(t, Config{IdleTransactionTimeout: 5 * time.Second})
		idle, busy := dial(t, s), dial(t, s)
		idle.login(testKey, testSecret, "ledger")
		busy.login(testKey, testSecret, "ledger")
		busy.frontend.Send(&pgproto3.Query{String: "BEGIN"})
		if err := busy.frontend.Flush(); err != nil {
			t.Fatal(err)
		}
		busy.receive()
		busy.receive()
		time.Sleep(4 * time.Second) // virtual time
		busy.ask()
		began := time.Now()
		busy.receive()
		if got := busy.seen[len(busy.seen)-1]; got != "FATAL 25P03" || time.Since(began) != 5*time.Second {
			t.Errorf("got %s after %v", got, time.Since(began))
		}
		if got := idle.ask(); got != "mill" {
			t.Errorf("idle session got %q", got)
		}
		_ = idle.socket.Close()
	})
}

// TestSlowReader gives up on a caller that takes its answer a row a second.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newTestServer(t, Config{WriteTimeout: 7 * time.Second})
		c := dial(t, s)
		c.login(testKey, testSecret, "ledger")
		c.frontend.Send(&pgproto3.Query{String: "ENDLESS"})
		if err := c.frontend.Flush(); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		for c.receive() != nil {
			time.Sleep(time.Second) // virtual time
		}
		if took := time.Since(began); took < 7*time.Second || took > 8*time.Second {
			t.Errorf("given up after %v, want 7s", took)
		}
	})
}
