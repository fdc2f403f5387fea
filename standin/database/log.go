package database

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Record is one entry of the replication log: the changes of one committed
// transaction. Positions count records from 1.
type Record struct {
	Point topology.Point `json:"point"`
	// TransactionID is zero in the first record of a term, which Promote appends and
	// which has no changes.
	TransactionID uint64   `json:"transaction,omitempty"`
	Changes       []Change `json:"changes,omitempty"`
}

// Change is the new value of a row or its deletion.
type Change struct {
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// logEntry is a record in this server's log.
type logEntry struct {
	Record
	// receivedAt is the clock's reading when the record was appended here. The
	// receive lag and the replay lag count from it.
	receivedAt time.Duration
}

// AppendRequest replicates consecutive records of a primary's log to a replica.
type AppendRequest struct {
	// From is the primary that sends the request.
	From topology.TargetID `json:"from"`
	// Term is the term in which the sender is primary.
	Term topology.Term `json:"term"`
	// Previous is the point of the record just before Records, and zero at the start
	// of the log. The receiver appends Records only when its log holds that point.
	Previous topology.Point `json:"previous"`
	Records  []Record       `json:"records,omitempty"`
}

// AppendResponse is a replica's response to an AppendRequest.
type AppendResponse struct {
	// Refused is set when the receiver has promised a higher term than the
	// sender's or is primary of that term itself.
	Refused bool `json:"refused,omitempty"`
	// Term is the term that the receiver has promised.
	Term topology.Term `json:"term"`
	// MatchedPosition is the position after which the sender continues. When the
	// receiver's log holds Previous, it is the position of the last record of the
	// request, otherwise an earlier position at which the logs may agree.
	MatchedPosition topology.Position `json:"matched"`
}

// pointAt returns the point of the record at the position recordCount, or the zero
// point for position zero.
func (d *Database) pointAt(recordCount int) topology.Point {
	if recordCount == 0 {
		return topology.Point{}
	}
	return d.mu.log[recordCount-1].Point
}

// nextLogPoint returns the point of the next record that this primary appends.
func (d *Database) nextLogPoint() topology.Point {
	return topology.Point{Term: d.mu.term, Position: topology.Position(len(d.mu.log) + 1)}
}

// appendAndReplay appends a record that this primary has written and replays the
// whole log. The replay lag only applies to the records of other servers.
func (d *Database) appendAndReplay(record Record) {
	d.appendToLog(record)
	d.replayTo(len(d.mu.log))
	d.notifyChanged()
}

func (d *Database) appendToLog(record Record) {
	d.mu.log = append(d.mu.log, logEntry{Record: record, receivedAt: d.clock()})
	if record.TransactionID != 0 {
		d.mu.commitPoints[record.TransactionID] = record.Point
	}
}

// replayTo applies the log's records to the rows until recordCount records are
// replayed.
func (d *Database) replayTo(recordCount int) {
	for _, record := range d.mu.log[d.mu.replayedRecords:recordCount] {
		applyChanges(d.mu.rows, record.Changes)
	}
	d.mu.replayedRecords = recordCount
}

func applyChanges(rows map[string]string, changes []Change) {
	for _, change := range changes {
		if change.Deleted {
			delete(rows, change.Key)
		} else {
			rows[change.Key] = change.Value
		}
	}
}

// truncateLog drops every record after the first recordCount ones. When a dropped
// record was replayed, the rows are rebuilt from the records that stay.
func (d *Database) truncateLog(recordCount int) {
	for _, record := range d.mu.log[recordCount:] {
		delete(d.mu.commitPoints, record.TransactionID)
	}
	d.mu.log = d.mu.log[:recordCount:recordCount]
	if d.mu.replayedRecords > recordCount {
		d.mu.replayedRecords = 0
		clear(d.mu.rows)
		d.replayTo(recordCount)
	}
}

// Receive handles an AppendRequest. A request of a higher term makes the server a
// replica in that term. Where the server's log differs from the primary's, it is
// truncated and continued with the primary's records.
//
// A demotion is reported to OnDemoted before the log changes, so that the sessions
// of the old primary are closed before a read can miss records that they have seen.
func (d *Database) Receive(request AppendRequest) AppendResponse {
	d.mu.Lock()
	demoted := request.Term > d.mu.term && d.adoptTerm(request.Term)
	d.mu.Unlock()
	if demoted {
		d.onDemoted()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if request.Term < d.mu.term || (request.Term == d.mu.term && d.mu.role == topology.RolePrimary) {
		return AppendResponse{Refused: true, Term: d.mu.term}
	}
	response := AppendResponse{Term: d.mu.term, MatchedPosition: d.matchPosition(request.Previous)}
	if response.MatchedPosition == request.Previous.Position {
		d.appendReceived(request.Records)
		response.MatchedPosition += topology.Position(len(request.Records))
	}
	return response
}

// matchPosition returns previous.Position when the log holds that point. Otherwise
// it returns an earlier position for the primary to try next: the end of a shorter
// log, or the position before the term of the record that conflicts.
func (d *Database) matchPosition(previous topology.Point) topology.Position {
	recordCount := int(previous.Position)
	if recordCount > len(d.mu.log) {
		return topology.Position(len(d.mu.log))
	}
	if recordCount == 0 || d.mu.log[recordCount-1].Point.Term == previous.Term {
		return previous.Position
	}
	conflictingTerm := d.mu.log[recordCount-1].Point.Term
	for recordCount > 0 && d.mu.log[recordCount-1].Point.Term == conflictingTerm {
		recordCount--
	}
	return topology.Position(recordCount)
}

// appendReceived appends the primary's records. Records that the log holds already,
// from a request that was repeated, are skipped; the first one of another term
// truncates the log.
func (d *Database) appendReceived(records []Record) {
	for _, record := range records {
		i := int(record.Point.Position) - 1
		if i < len(d.mu.log) {
			if d.mu.log[i].Point.Term == record.Point.Term {
				continue
			}
			d.truncateLog(i)
		}
		d.appendToLog(record)
	}
	d.replayDueRecords()
	d.notifyChanged()
}

// SetReplayLag sets the time from receiving a record to replaying it.
func (d *Database) SetReplayLag(lag time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.replayLag = lag
	d.notifyChanged()
}

// Replay replays the records that the replay lag has passed for, which makes them
// visible to reads. It returns the time until the next record is due, and false
// when all are replayed.
func (d *Database) Replay() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replayDueRecords()
	if d.mu.replayedRecords == len(d.mu.log) {
		return 0, false
	}
	return d.mu.log[d.mu.replayedRecords].receivedAt + d.mu.replayLag - d.clock(), true
}

func (d *Database) replayDueRecords() {
	now := d.clock()
	recordCount := d.mu.replayedRecords
	for recordCount < len(d.mu.log) && d.mu.log[recordCount].receivedAt+d.mu.replayLag <= now {
		recordCount++
	}
	d.replayTo(recordCount)
}

// ReplicationCursor is the progress of a primary's replication to one replica
// within a term.
type ReplicationCursor struct {
	Term topology.Term
	// MatchedPosition is the position after which the next request starts.
	MatchedPosition topology.Position
}

// NextAppend returns the next request to a replica: at most limit records after
// the cursor, each at least as old as the receive lag. It resets a cursor of
// another term to the position before the latest record; the responses then lead
// it back to where the logs agree.
//
// The duration is the time until the next record is old enough, zero when limit
// left out one that is, and negative when no record is left. The last result is
// false, without a request, when the server is not primary.
func (d *Database) NextAppend(cursor *ReplicationCursor, lag time.Duration, limit int) (AppendRequest, time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mu.role != topology.RolePrimary {
		return AppendRequest{}, 0, false
	}
	if cursor.Term != d.mu.term {
		*cursor = ReplicationCursor{Term: d.mu.term, MatchedPosition: topology.Position(len(d.mu.log) - 1)}
	}
	start := min(int(cursor.MatchedPosition), len(d.mu.log))
	request := AppendRequest{From: d.id, Term: d.mu.term, Previous: d.pointAt(start)}
	now := d.clock()
	for _, record := range d.mu.log[start:] {
		delay := record.receivedAt + lag - now
		if delay > 0 {
			return request, delay, true
		}
		if len(request.Records) == limit {
			return request, 0, true
		}
		request.Records = append(request.Records, record.Record)
	}
	return request, -1, true
}
