package database

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Record is one entry of a group's log. Positions count records from 1.
type Record struct {
	Point topology.Point `json:"point"`
	// Transaction is zero in the record that opens a term.
	Transaction uint64   `json:"transaction,omitempty"`
	Changes     []Change `json:"changes,omitempty"`
}

// Change sets a row or deletes it.
type Change struct {
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// logEntry is a record with the time at which this server got it.
type logEntry struct {
	Record
	receivedAt time.Duration
}

// AppendRequest is a piece of a primary's log, following Previous.
type AppendRequest struct {
	From     topology.TargetID `json:"from"`
	Term     topology.Term     `json:"term"`
	Previous topology.Point    `json:"previous"`
	Records  []Record          `json:"records,omitempty"`
}

// AppendResponse is what a server makes of a Stream.
type AppendResponse struct {
	// Refused is set when the sender's term is over; Term is the promised one.
	Refused bool          `json:"refused,omitempty"`
	Term    topology.Term `json:"term"`
	// Matched is the position up to which the logs may agree; the sender goes
	// on from there.
	Matched topology.Position `json:"matched"`
}

func (d *Database) pointAt(records int) topology.Point {
	if records == 0 {
		return topology.Point{}
	}
	return d.mu.log[records-1].Point
}

func (d *Database) nextLogPoint() topology.Point {
	return topology.Point{Term: d.mu.term, Position: topology.Position(len(d.mu.log) + 1)}
}

// appendAndReplay adds a record that this primary wrote itself.
func (d *Database) appendAndReplay(record Record) {
	d.appendToLog(record)
	d.replayTo(len(d.mu.log))
	d.notifyChange()
}

func (d *Database) appendToLog(record Record) {
	d.mu.log = append(d.mu.log, logEntry{Record: record, receivedAt: d.clock()})
	if record.Transaction != 0 {
		d.mu.commitPoints[record.Transaction] = record.Point
	}
}

func (d *Database) replayTo(end int) {
	for _, record := range d.mu.log[d.mu.replayedRecords:end] {
		applyChange(d.mu.rows, record.Changes)
	}
	d.mu.replayedRecords = end
}

func applyChange(rows map[string]string, changes []Change) {
	for _, change := range changes {
		if change.Deleted {
			delete(rows, change.Key)
		} else {
			rows[change.Key] = change.Value
		}
	}
}

// truncateLog drops every record after the first n. Rows that were already changed
// by a dropped record are built anew.
func (d *Database) truncateLog(n int) {
	for _, record := range d.mu.log[n:] {
		delete(d.mu.commitPoints, record.Transaction)
	}
	d.mu.log = d.mu.log[:n:n]
	if d.mu.replayedRecords > n {
		d.mu.replayedRecords = 0
		clear(d.mu.rows)
		d.replayTo(n)
	}
}

// Receive takes a piece of a primary's log. A piece of a higher term makes the
// server a replica of that term; where the logs differ, the server's is cut.
// Sessions of the earlier role are ended before the cut can be seen.
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
	response := AppendResponse{Term: d.mu.term, Matched: d.matchPosition(request.Previous)}
	if response.Matched == request.Previous.Position {
		d.appendReceived(request.Records)
		response.Matched += topology.Position(len(request.Records))
	}
	return response
}

// matchPosition returns previous.Position when the log holds that point, otherwise
// an earlier position worth trying.
func (d *Database) matchPosition(previous topology.Point) topology.Position {
	end := int(previous.Position)
	if end > len(d.mu.log) {
		return topology.Position(len(d.mu.log))
	}
	if end == 0 || d.mu.log[end-1].Point.Term == previous.Term {
		return previous.Position
	}
	conflictingTerm := d.mu.log[end-1].Point.Term
	for end > 0 && d.mu.log[end-1].Point.Term == conflictingTerm {
		end--
	}
	return topology.Position(end)
}

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
	d.notifyChange()
}

// SetReplayLag sets how long a received record stays invisible to reads.
func (d *Database) SetReplayLag(lag time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.replayLag = lag
	d.notifyChange()
}

// Replay makes visible the records that are due. It returns how long it is until
// the next is, and false when none waits.
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
	end := d.mu.replayedRecords
	for end < len(d.mu.log) && d.mu.log[end].receivedAt+d.mu.replayLag <= now {
		end++
	}
	d.replayTo(end)
}

// Cursor is how far a primary has streamed to a member in one term.
type Cursor struct {
	Term    topology.Term
	Matched topology.Position
}

// NextAppend returns what a primary has to stream to a member next: at most limit
// records, each at least lag old. A cursor of another term starts over before
// the latest record. The duration is how long it is until another record is due;
// it is negative when none waits. The last result is false on a replica.
func (d *Database) NextAppend(cursor *Cursor, lag time.Duration, limit int) (AppendRequest, time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mu.role != topology.RolePrimary {
		return AppendRequest{}, 0, false
	}
	if cursor.Term != d.mu.term {
		*cursor = Cursor{Term: d.mu.term, Matched: topology.Position(len(d.mu.log) - 1)}
	}
	start := min(int(cursor.Matched), len(d.mu.log))
	request := AppendRequest{From: d.id, Term: d.mu.term, Previous: d.pointAt(start)}
	now := d.clock()
	for _, record := range d.mu.log[start:] {
		due := record.receivedAt + lag - now
		if due > 0 {
			return request, due, true
		}
		if len(request.Records) == limit {
			return request, 0, true
		}
		request.Records = append(request.Records, record.Record)
	}
	return request, -1, true
}
