package caller

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestLogin checks the outcome of logins with valid and invalid credentials and
// parameters. A refused login closes the connection.
func TestLogin(t *testing.T) {
	for name, test := range map[string]struct {
		user, secret, database string
		extra                  []string
		want                   string
	}{
		"valid key":                {testKey, testSecret, "ledger", nil, "ReadyForQuery"},
		"open":                     {"", "", "open", nil, "ReadyForQuery"},
		"wrong secret":             {testKey, "x", "ledger", nil, "FATAL 28P01"},
		"unknown key":              {"x", testSecret, "ledger", nil, "FATAL 28P01"},
		"unknown database":         {testKey, testSecret, "x", nil, "FATAL 3D000"},
		"unknown key and database": {"x", testSecret, "x", nil, "FATAL 28P01"},
		"other customer":           {testKey, testSecret, "depot", nil, "FATAL 28000"},
		"invalid token":            {testKey, testSecret, "ledger", []string{"samphirehitch.token", "bad"}, "FATAL 22023"},
		"invalid age":              {testKey, testSecret, "ledger", []string{"samphirehitch.max_age", "soon"}, "FATAL 22023"},
		"unsupported setting":      {testKey, testSecret, "ledger", []string{"wal_level", "x"}, "FATAL 0A000"},
		"unsupported encoding":     {testKey, testSecret, "ledger", []string{"client_encoding", "LATIN1"}, "FATAL 0A000"},
		"options":                  {testKey, testSecret, "ledger", []string{"options", "-c search_path=x -csamphirehitch.max_age=5s --work_mem=1MB"}, "ReadyForQuery"},
		"invalid options":          {testKey, testSecret, "ledger", []string{"options", "-c"}, "FATAL 22023"},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newTestServer(t, Config{})
			c := dial(t, s)
			c.login(test.user, test.secret, test.database, test.extra...)
			if got := c.receivedKinds[len(c.receivedKinds)-1]; got != test.want {
				t.Fatalf("got %v, want %s", c.receivedKinds, test.want)
			}
			if test.want != "ReadyForQuery" && c.receive() != nil {
				t.Errorf("the connection stays open after %s", test.want)
			}
		})
	}
}

// TestUnknownKeyIsIndistinguishableFromWrongSecret compares the messages of both
// logins and the sizes of their challenges. Two logins with the same unknown key
// must show the same salt, as those with an existing key do.
func TestUnknownKeyIsIndistinguishableFromWrongSecret(t *testing.T) {
	s, _ := newTestServer(t, Config{})
	attempt := func(user string) (*testCaller, string, int) {
		c := dial(t, s)
		c.writeRaw(startupMessage(user, "ledger"))
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
		// The caller's nonce is followed by 32 characters of the server's.
		return c, challenge[len("r=nonce")+32:], len(challenge)
	}
	known, _, knownSize := attempt(testKey)
	unknown, unknownSalt, unknownSize := attempt("x")
	_, repeatedSalt, _ := attempt("x")
	if !slices.Equal(known.receivedKinds, unknown.receivedKinds) || knownSize != unknownSize {
		t.Errorf("wrong secret: %v (%d bytes), unknown key: %v (%d bytes)", known.receivedKinds, knownSize, unknown.receivedKinds, unknownSize)
	}
	if unknownSalt != repeatedSalt {
		t.Errorf("an unknown key got salt %s, then %s", unknownSalt, repeatedSalt)
	}
}

// TestWithdrawnKeyIsDisclosedOnlyWithCorrectSecret logs in with a withdrawn key. With
// a wrong secret the error must not show that the key was withdrawn.
func TestWithdrawnKeyIsDisclosedOnlyWithCorrectSecret(t *testing.T) {
	s, directory := newTestServer(t, Config{})
	directory.withdrawn.Store(true)
	for secret, want := range map[string]string{testSecret: "FATAL 28000", "x": "FATAL 28P01"} {
		c := dial(t, s)
		c.login(testKey, secret, "ledger")
		if got := c.receivedKinds[len(c.receivedKinds)-1]; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

// TestOpenRouteIgnoresUserName checks that a session on an open route belongs to
// the route's customer even if its user name is a key.
func TestOpenRouteIgnoresUserName(t *testing.T) {
	s, _ := newTestServer(t, Config{})
	c := dial(t, s)
	c.login(testKey, "", "open")
	if got := c.runQuery(); got != "public" {
		t.Errorf("session on an open route belongs to customer %q", got)
	}
}

// TestLoginTimeout checks that the server closes a connection whose caller sends
// nothing or stops in the middle of the login.
func TestLoginTimeout(t *testing.T) {
	for name, partialLogin := range map[string][]byte{"silent": nil, "half a header": {0, 0}, "startup message only": startupMessage(testKey, "ledger")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := newTestServer(t, Config{LoginTimeout: 3 * time.Second})
				c := dial(t, s)
				startedAt := time.Now()
				c.writeRaw(partialLogin)
				for c.receive() != nil {
				}
				if elapsed := time.Since(startedAt); elapsed != 3*time.Second {
					t.Errorf("closed after %v, want 3s", elapsed)
				}
			})
		})
	}
}

// TestMaxLoginsRejectsFurtherLogins occupies all login slots. Open sessions still
// run requests, and a released slot can be used again.
func TestMaxLoginsRejectsFurtherLogins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newTestServer(t, Config{MaxLogins: 2})
		openSession := dial(t, s)
		openSession.login(testKey, testSecret, "ledger")
		synctest.Wait() // until the login slot is released, after the response to the login
		firstLogin, secondLogin := dial(t, s), dial(t, s)
		synctest.Wait()
		rejected := dial(t, s)
		rejected.receive()
		if rejected.receivedKinds[0] != "FATAL 53300" {
			t.Errorf("got %v over MaxLogins", rejected.receivedKinds)
		}
		if got := openSession.runQuery(); got != "mill" {
			t.Errorf("open session got %q", got)
		}
		_ = firstLogin.socket.Close()
		synctest.Wait()
		nextLogin := dial(t, s)
		nextLogin.login(testKey, testSecret, "ledger")
		if got := nextLogin.runQuery(); got != "mill" {
			t.Errorf("login in the released slot got %q", got)
		}
		for _, c := range []*testCaller{openSession, secondLogin, rejected, nextLogin} {
			_ = c.socket.Close()
		}
	})
}

// TestIdleTransactionTimeout checks that a session is closed when it is idle in an
// open transaction, but not when it is idle outside one. A request restarts the
// timeout.
func TestIdleTransactionTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newTestServer(t, Config{IdleTransactionTimeout: 5 * time.Second})
		idle, inTransaction := dial(t, s), dial(t, s)
		idle.login(testKey, testSecret, "ledger")
		inTransaction.login(testKey, testSecret, "ledger")
		inTransaction.frontend.Send(&pgproto3.Query{String: "BEGIN"})
		if err := inTransaction.frontend.Flush(); err != nil {
			t.Fatal(err)
		}
		inTransaction.receive()
		inTransaction.receive()
		time.Sleep(4 * time.Second) // virtual time
		inTransaction.runQuery()
		startedAt := time.Now()
		inTransaction.receive()
		if got := inTransaction.receivedKinds[len(inTransaction.receivedKinds)-1]; got != "FATAL 25P03" || time.Since(startedAt) != 5*time.Second {
			t.Errorf("got %s after %v", got, time.Since(startedAt))
		}
		if got := idle.runQuery(); got != "mill" {
			t.Errorf("idle session got %q", got)
		}
		_ = idle.socket.Close()
	})
}

// TestWriteTimeout checks that the server closes the session of a caller that reads
// only one row of its response a second.
func TestWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newTestServer(t, Config{WriteTimeout: 7 * time.Second})
		c := dial(t, s)
		c.login(testKey, testSecret, "ledger")
		c.frontend.Send(&pgproto3.Query{String: "ENDLESS"})
		if err := c.frontend.Flush(); err != nil {
			t.Fatal(err)
		}
		startedAt := time.Now()
		for c.receive() != nil {
			time.Sleep(time.Second) // virtual time
		}
		if elapsed := time.Since(startedAt); elapsed < 7*time.Second || elapsed > 8*time.Second {
			t.Errorf("closed after %v, want 7s", elapsed)
		}
	})
}
