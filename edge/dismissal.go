package edge

import (
	"time"

	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

// dismissalTimeout is how long an instance waits for a caller to close its connection.
const dismissalTimeout = time.Second

// dismiss ends the session of an idle caller because of a shutdown. An error while no
// statement is outstanding has the caller close its connection, so that no statement
// crosses with the close of the connection here. A statement that crosses with the error is
// not run: the error is its response, which READY completes, and its caller may send it
// again elsewhere.
func (d *Daemon) dismiss(conn *callerConn) error {
	end := time.Now().Add(dismissalTimeout)
	if plan := d.shutdown.Load(); plan != nil {
		end = earliest(end, plan.responseEnd)
	}
	if err := conn.codec.SetReadDeadline(end); err != nil {
		return err
	}
	for {
		if err := conn.codec.WriteRefusal(statement.Busy, reasonShutdown); err != nil {
			return err
		}
		if _, err := conn.codec.ReadStatement(); err != nil {
			return nil // the caller has closed the connection, or does not respond
		}
		if err := conn.codec.WriteReady(statement.Idle, topology.Point{}); err != nil {
			return err
		}
	}
}
