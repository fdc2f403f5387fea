package engine

import (
	"testing"

	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// changeCatalog puts a changed copy of the configuration in force.
func (h *harness) changeCatalog(change func(c *catalog.Catalog)) {
	h.t.Helper()
	changed := *h.engine.Catalog()
	changed.Version++
	change(&changed)
	if !h.engine.SetCatalog(&changed) {
		h.t.Fatal("the configuration was not accepted")
	}
}

func withdrawKey(c *catalog.Catalog) { c.Keys = map[string]topology.CustomerID{"other": "k"} }

// dataStatements are the statements that a target runs within a transaction.
var dataStatements = []statement.Statement{
	readA, writeA, {Kind: statement.Execute, ID: "id execute", Name: "p", Text: "t"}, commit,
}

// mustRefuseTransaction runs a statement in a session whose transaction must have been
// ended: it is aborted, and no target receives it or another statement.
func (h *harness) mustRefuseTransaction(session *Session, st statement.Statement) {
	h.t.Helper()
	kinds := []statement.Kind{statement.Begin, statement.Read, statement.Write, statement.Execute, statement.Commit}
	before, state := len(h.targets.received(kinds...)), statement.Failed
	if st.Kind == statement.Commit {
		state = statement.Idle
	}
	if response := h.mustRun(session, st, statement.Aborted); response.State != state {
		h.t.Errorf("%s leaves the session in state %v, want %v", st.Kind, response.State, state)
	}
	if received := h.targets.received(kinds...); len(received) != before {
		h.t.Errorf("%s: a target received %+v", st.Kind, received[before:])
	}
}

// transactionsInProgress returns a session with a transaction that has a connection, and
// one whose transaction has none yet.
func (h *harness) transactionsInProgress() []*Session {
	started, deferred := h.session(1, "strict"), h.session(2, "strict")
	for _, session := range []*Session{started, deferred} {
		h.mustRun(session, statement.Statement{Kind: statement.Prepare, Name: "p", Argument: "q", Writes: true}, statement.OK)
		h.mustRun(session, begin, statement.OK)
	}
	h.mustRun(started, writeA, statement.OK)
	return []*Session{started, deferred}
}

// Transactions that were open when their key was withdrawn ran and committed more statements.
func TestWithdrawnKeyEndsOpenTransactions(t *testing.T) {
	for _, st := range dataStatements {
		h := newHarness(t)
		sessions := h.transactionsInProgress()
		h.changeCatalog(withdrawKey)
		for _, session := range sessions {
			h.mustRefuseTransaction(session, st)
			if st.Kind != statement.Commit {
				h.mustRun(session, writeA, statement.Malformed)
				h.mustRun(session, statement.Statement{Kind: statement.Rollback}, statement.OK)
			}
			h.mustRun(session, writeA, statement.AuthenticationFailed)
			h.mustRun(session, begin, statement.AuthenticationFailed)
		}
	}
}

// A key that a configuration gives to another customer is withdrawn from the first one.
func TestKeyOfAnotherCustomerEndsOpenTransactions(t *testing.T) {
	h := newHarness(t)
	sessions := h.transactionsInProgress()
	h.changeCatalog(func(c *catalog.Catalog) {
		c.Customers = map[topology.CustomerID]catalog.Customer{"k": {ID: "k"}, "l": {ID: "l"}}
		c.Keys = map[string]topology.CustomerID{"secret": "l"}
	})
	for _, session := range sessions {
		h.mustRefuseTransaction(session, writeA)
	}
}

// An instance that cannot know whether a key was withdrawn ran statements of open
// transactions, although it accepted no new operations.
func TestTransactionsEndWithTheAuthorityToAcceptKeys(t *testing.T) {
	for _, st := range dataStatements {
		h := newHarness(t)
		sessions := h.transactionsInProgress()
		h.authority.setKeys(false)
		for _, session := range sessions {
			h.mustRefuseTransaction(session, st)
		}
	}
}

// A lapse of the authority that is over before the next statement costs the caller nothing.
func TestShortLapseOfTheAuthorityToAcceptKeysEndsNoTransaction(t *testing.T) {
	h := newHarness(t)
	sessions := h.transactionsInProgress()
	h.authority.setKeys(false)
	h.engine.Tick()
	h.authority.setKeys(true)
	for _, session := range sessions {
		h.mustRun(session, writeA, statement.OK)
		h.mustRun(session, commit, statement.OK)
	}
}

// A transaction depends on its key, on an open route on none, and keeps the route with
// which it began.
func TestTransactionsKeepTheRouteWithWhichTheyBegan(t *testing.T) {
	h := newHarness(t)
	keyed := h.transactionsInProgress()
	h.changeCatalog(func(c *catalog.Catalog) {
		open := c.Routes["strict"]
		open.Open = true
		c.Routes = map[string]catalog.Route{"open": open}
	})
	anonymous := h.session(3, "open")
	h.mustRun(anonymous, begin, statement.OK)
	h.mustRun(anonymous, writeA, statement.OK)
	h.changeCatalog(func(c *catalog.Catalog) {
		withdrawn := c.Routes["open"]
		withdrawn.Open = false
		c.Routes = map[string]catalog.Route{"open": withdrawn}
		c.Keys = map[string]topology.CustomerID{"secret": "k"}
	})
	for _, session := range append(keyed, anonymous) {
		h.mustRun(session, writeA, statement.OK)
	}
	h.changeCatalog(withdrawKey)
	h.authority.setKeys(false)
	h.mustRun(anonymous, writeA, statement.OK)
	h.mustRun(anonymous, commit, statement.OK)
	for _, session := range keyed {
		h.mustRefuseTransaction(session, commit)
	}
}
