package execute

import (
	"net"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/classify"
)

// fakeConn is the server side of a connection to a fake target.
type fakeConn struct {
	targets        *fakeTargets
	id             topology.TargetID
	socket         net.Conn
	txStatus       byte
	settings       map[string]string
	uncommitted    []string
	transactionID  uint64
	boundParameter string
	response       []byte
}

// Read reads from the socket and records what was received.
func (c *fakeConn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	c.targets.mu.received = append(c.targets.mu.received, p[:n]...)
	return n, err
}

func (c *fakeConn) addMessages(messages ...pgproto3.BackendMessage) {
	for _, message := range messages {
		c.response, _ = message.Encode(c.response)
	}
}

func (c *fakeConn) serve() {
	defer c.socket.Close()
	backend := pgproto3.NewBackend(c, c.socket)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	c.addMessages(&pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{SecretKey: make([]byte, 4)}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	if c.flushResponse(noFault) != nil {
		return
	}
	for {
		message, err := backend.Receive()
		if err != nil {
			return
		}
		fault := noFault
		if query, ok := message.(*pgproto3.Query); ok {
			c.handleScriptedQuery(query.String)
			fault = c.targets.nextFault(c.id)
		} else {
			c.handleExtended(message)
		}
		if c.flushResponse(fault) != nil {
			return
		}
	}
}

// handleScriptedQuery responds to a Query, by the script for it if there is one.
func (c *fakeConn) handleScriptedQuery(query string) {
	scripted, ok := c.targets.nextScript(query)
	if !scripted.skipped {
		c.handleQuery(query)
		c.addMessages(&pgproto3.ReadyForQuery{TxStatus: c.txStatus})
	}
	if ok {
		c.response = []byte(scripted.response)
	}
}

// handleExtended responds to an extended query message. Each portal returns its
// only parameter.
func (c *fakeConn) handleExtended(message pgproto3.FrontendMessage) {
	switch message := message.(type) {
	case *pgproto3.Parse:
		c.addMessages(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		c.boundParameter = string(message.Parameters[0])
		c.addMessages(&pgproto3.BindComplete{})
	case *pgproto3.Execute:
		c.addMessages(&pgproto3.DataRow{Values: [][]byte{[]byte(c.boundParameter)}})
		c.addCommandComplete("SELECT 1")
	case *pgproto3.Sync:
		c.addMessages(&pgproto3.ReadyForQuery{TxStatus: c.txStatus})
	}
}

// flushResponse sends the response, falsified by the fault. It returns an error
// when the connection is to be closed.
func (c *fakeConn) flushResponse(fault responseFault) error {
	response := c.response
	c.response = nil
	if fault.replayConflict {
		response, _ = (&pgproto3.ErrorResponse{Severity: "ERROR", Code: "40001"}).Encode(nil)
		response, _ = (&pgproto3.ReadyForQuery{TxStatus: c.txStatus}).Encode(response)
	}
	if fault.duplicate {
		response = append(response, response...)
	}
	if fault.stall || fault.silent {
		var one [1]byte
		for {
			if _, err := c.socket.Read(one[:]); err != nil {
				break
			}
		}
	}
	if fault.truncateAt >= 0 {
		_, _ = c.socket.Write(response[:min(fault.truncateAt, len(response))])
		return net.ErrClosed
	}
	_, err := c.socket.Write(response)
	return err
}

// handleQuery executes a statement of the tests. The second word of INSERT,
// CALL and SELECT is the value to write or to return. CALL commits within the
// statement. TABLE n value returns the value in n rows.
func (c *fakeConn) handleQuery(query string) {
	words := strings.Fields(strings.TrimPrefix(query, classify.IdempotentHint))
	switch {
	case words[0] == "BEGIN":
		c.txStatus = 'T'
		c.addCommandComplete("BEGIN")
	case words[0] == "START":
		c.txStatus = 'T'
		c.addCommandComplete("START TRANSACTION")
	case words[0] == "COMMIT":
		c.addCommandComplete(c.commit())
	case words[0] == "ROLLBACK":
		c.endTransaction()
		c.addCommandComplete("ROLLBACK")
	case words[0] == "SET":
		c.settings[words[1]] = strings.Trim(words[len(words)-1], "'")
		c.addCommandComplete("SET")
	case words[0] == "RESET":
		delete(c.settings, words[1])
		c.addCommandComplete("RESET")
	case words[0] == "SHOW":
		c.addRowsWithTag(c.settings[words[1]], 1, "SHOW")
	case words[0] == "INSERT":
		c.uncommitted = append(c.uncommitted, words[1])
		if c.txStatus == 'I' {
			c.commit()
		}
		c.addCommandComplete("INSERT 0 1")
	case words[0] == "CALL":
		c.uncommitted = append(c.uncommitted, words[1])
		c.commit()
		c.addCommandComplete("CALL")
	case query == queryTransactionID:
		c.addTransactionID()
	case words[0] == "TABLE":
		count, _ := strconv.Atoi(words[1])
		c.addRows(words[2], count)
	default:
		c.addRow(strings.Trim(words[1], "'"))
	}
}

func (c *fakeConn) addCommandComplete(tag string) {
	c.addMessages(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (c *fakeConn) addRow(value string) { c.addRows(value, 1) }

func (c *fakeConn) addRows(value string, count int) {
	c.addRowsWithTag(value, count, "SELECT "+strconv.Itoa(count))
}

func (c *fakeConn) addRowsWithTag(value string, count int, tag string) {
	c.addMessages(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: textOID}}})
	for range count {
		c.addMessages(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	c.addCommandComplete(tag)
}

// addTransactionID assigns and returns the transaction ID. A transaction that has
// written nothing has none, which is null.
func (c *fakeConn) addTransactionID() {
	if len(c.uncommitted) > 0 {
		c.targets.mu.Lock()
		defer c.targets.mu.Unlock()
		c.targets.mu.nextID++
		c.transactionID = c.targets.mu.nextID
		c.addRow(strconv.FormatUint(c.transactionID, 10))
		return
	}
	c.addMessages(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: textOID}}},
		&pgproto3.DataRow{Values: [][]byte{nil}})
	c.addCommandComplete("SELECT 1")
}

func (c *fakeConn) endTransaction() {
	c.txStatus, c.uncommitted, c.transactionID = 'I', nil, 0
}

// commit commits the rows, unless the transaction has been resolved as aborted,
// and returns the command tag.
func (c *fakeConn) commit() string {
	defer c.endTransaction()
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	if c.targets.mu.outcomes[c.transactionID] == platform.OutcomeAborted {
		return "ROLLBACK"
	}
	c.targets.mu.outcomes[c.transactionID] = platform.OutcomeCommitted
	for _, value := range c.uncommitted {
		c.targets.mu.committed[value]++
	}
	return "COMMIT"
}
