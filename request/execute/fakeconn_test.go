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

// fakeConn is a connection to a scripted target.
type fakeConn struct {
	targets  *fakeTargets
	id       topology.TargetID
	socket   net.Conn
	status   byte
	settings map[string]string
	written  []string
	xid      uint64
	bound    string
	answer   []byte
}

// Read records what the target is sent.
func (c *fakeConn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	c.targets.mu.received = append(c.targets.mu.received, p[:n]...)
	return n, err
}

func (c *fakeConn) add(messages ...pgproto3.BackendMessage) {
	for _, message := range messages {
		c.answer, _ = message.Encode(c.answer)
	}
}

func (c *fakeConn) serve() {
	defer c.socket.Close()
	backend := pgproto3.NewBackend(c, c.socket)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	c.add(&pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{SecretKey: make([]byte, 4)}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	if c.flush(noFault) != nil {
		return
	}
	for {
		message, err := backend.Receive()
		if err != nil {
			return
		}
		spoiled := noFault
		if query, ok := message.(*pgproto3.Query); ok {
			c.run(query.String)
			c.add(&pgproto3.ReadyForQuery{TxStatus: c.status})
			spoiled = c.targets.takeFault(c.id)
		} else {
			c.runExtended(message)
		}
		if c.flush(spoiled) != nil {
			return
		}
	}
}

// runExtended answers each message at once. A portal returns its parameter.
func (c *fakeConn) runExtended(message pgproto3.FrontendMessage) {
	switch message := message.(type) {
	case *pgproto3.Parse:
		c.add(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		c.bound = string(message.Parameters[0])
		c.add(&pgproto3.BindComplete{})
	case *pgproto3.Execute:
		c.add(&pgproto3.DataRow{Values: [][]byte{[]byte(c.bound)}})
		c.done("SELECT 1")
	case *pgproto3.Sync:
		c.add(&pgproto3.ReadyForQuery{TxStatus: c.status})
	}
}

// flush sends the answer as the fault has it. It fails once the connection is
// of no use.
func (c *fakeConn) flush(spoiled fault) error {
	answer := c.answer
	c.answer = nil
	if spoiled.conflict {
		answer, _ = (&pgproto3.ErrorResponse{Severity: "ERROR", Code: "40001"}).Encode(nil)
		answer, _ = (&pgproto3.ReadyForQuery{TxStatus: c.status}).Encode(answer)
	}
	if spoiled.twice {
		answer = append(answer, answer...)
	}
	if spoiled.late {
		var one [1]byte
		for {
			if _, err := c.socket.Read(one[:]); err != nil {
				break
			}
		}
	}
	if spoiled.cut >= 0 {
		_, _ = c.socket.Write(answer[:min(spoiled.cut, len(answer))])
		return net.ErrClosed
	}
	_, err := c.socket.Write(answer)
	return err
}

func (c *fakeConn) run(query string) {
	words := strings.Fields(strings.TrimPrefix(query, classify.IdempotentHint))
	switch {
	case words[0] == "BEGIN":
		c.status = 'T'
		c.done("BEGIN")
	case words[0] == "START":
		c.status = 'T'
		c.done("START TRANSACTION")
	case words[0] == "COMMIT":
		c.done(c.commit())
	case words[0] == "ROLLBACK":
		c.end()
		c.done("ROLLBACK")
	case words[0] == "SET":
		c.settings[words[1]] = strings.Trim(words[len(words)-1], "'")
		c.done("SET")
	case words[0] == "RESET":
		delete(c.settings, words[1])
		c.done("RESET")
	case words[0] == "SHOW":
		c.row(c.settings[words[1]])
	case words[0] == "INSERT":
		c.written = append(c.written, words[1])
		c.done("INSERT 0 1")
	case words[0] == "CALL":
		c.written = append(c.written, words[1])
		c.commit()
		c.done("CALL")
	case query == queryTransaction:
		c.row(c.identify())
	case words[0] == "TABLE":
		count, _ := strconv.Atoi(words[1])
		c.rows(words[2], count)
	default:
		c.row(strings.Trim(words[1], "'"))
	}
}

func (c *fakeConn) done(tag string) { c.add(&pgproto3.CommandComplete{CommandTag: []byte(tag)}) }

func (c *fakeConn) row(value string) { c.rows(value, 1) }

func (c *fakeConn) rows(value string, count int) {
	c.add(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: textOID}}})
	for range count {
		c.add(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	c.done("SELECT " + strconv.Itoa(count))
}

// identify names the transaction; one that has written nothing has no name.
func (c *fakeConn) identify() string {
	if len(c.written) == 0 {
		return ""
	}
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	c.targets.mu.nextID++
	c.xid = c.targets.mu.nextID
	return strconv.FormatUint(c.xid, 10)
}

func (c *fakeConn) end() {
	c.status, c.written, c.xid = 'I', nil, 0
}

// commit keeps the rows, unless the transaction has been settled as aborted.
func (c *fakeConn) commit() string {
	defer c.end()
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	if c.targets.mu.outcomes[c.xid] == platform.OutcomeAborted {
		return "ROLLBACK"
	}
	c.targets.mu.outcomes[c.xid] = platform.OutcomeCommitted
	for _, value := range c.written {
		c.targets.mu.committed[value]++
	}
	return "COMMIT"
}
