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

// logged is a record with the time at which this server got it.
type logged struct {
	Record
	at time.Duration
}

// Stream is a piece of a primary's log, following Previous.
type Stream struct {
	From     topology.TargetID `json:"from"`
	Term     topology.Term     `json:"term"`
	Previous topology.Point    `json:"previous"`
	Records  []Record          `json:"records,omitempty"`
}

// StreamAnswer is what a server makes of a Stream.
type StreamAnswer struct {
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

func (d *Database) nextPoint() topology.Point {
	return topology.Point{Term: d.mu.term, Position: topology.Position(len(d.mu.log) + 1)}
}

// append adds a record that this primary wrote itself.
func (d *Database) append(record Record) {
	d.hold(record)
	d.replay(len(d.mu.log))
	d.wake()
}

func (d *Database) hold(record Record) {
	d.mu.log = append(d.mu.log, logged{Record: record, at: d.clock()})
	if record.Transaction != 0 {
		d.mu.committed[record.Transaction] = record.Point
	}
}

func (d *Database) replay(end int) {
	for _, record := range d.mu.log[d.mu.replayed:end] {
		apply(d.mu.rows, record.Changes)
	}
	d.mu.replayed = end
}

func apply(rows map[string]string, changes []Change) {
	for _, change := range changes {
		if change.Deleted {
			delete(rows, change.Key)
		} else {
			rows[change.Key] = change.Value
		}
	}
}

// truncate drops every record after the first n. Rows that were already changed
// by a dropped record are built anew.
func (d *Database) truncate(n int) {
	for _, record := range d.mu.log[n:] {
		delete(d.mu.committed, record.Transaction)
	}
	d.mu.log = d.mu.log[:n:n]
	if d.mu.replayed > n {
		d.mu.replayed = 0
		clear(d.mu.rows)
		d.replay(n)
	}
}

// Receive takes a piece of a primary's log. A piece of a higher term makes the
// server a replica of that term; where the logs differ, the server's is cut.
// Sessions of the earlier role are ended before the cut can be seen.
func (d *Database) Receive(stream Stream) StreamAnswer {
	d.mu.Lock()
	demoted := stream.Term > d.mu.term && d.adopt(stream.Term)
	d.mu.Unlock()
	if demoted {
		d.onDemoted()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if stream.Term < d.mu.term || (stream.Term == d.mu.term && d.mu.role == topology.RolePrimary) {
		return StreamAnswer{Refused: true, Term: d.mu.term}
	}
	answer := StreamAnswer{Term: d.mu.term, Matched: d.agreement(stream.Previous)}
	if answer.Matched == stream.Previous.Position {
		d.extend(stream.Records)
		answer.Matched += topology.Position(len(stream.Records))
	}
	return answer
}

// agreement returns previous.Position when the log holds that point, otherwise
// an earlier position worth trying.
func (d *Database) agreement(previous topology.Point) topology.Position {
	end := int(previous.Position)
	if end > len(d.mu.log) {
		return topology.Position(len(d.mu.log))
	}
	if end == 0 || d.mu.log[end-1].Point.Term == previous.Term {
		return previous.Position
	}
	conflicting := d.mu.log[end-1].Point.Term
	for end > 0 && d.mu.log[end-1].Point.Term == conflicting {
		end--
	}
	return topology.Position(end)
}

func (d *Database) extend(records []Record) {
	for _, record := range records {
		i := int(record.Point.Position) - 1
		if i < len(d.mu.log) {
			if d.mu.log[i].Point.Term == record.Point.Term {
				continue
			}
			d.truncate(i)
		}
		d.hold(record)
	}
	d.replayDue()
	d.wake()
}

// SetReplayLag sets how long a received record stays invisible to reads.
func (d *Database) SetReplayLag(lag time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.replayLag = lag
	d.wake()
}

// Replay makes visible the records that are due. It returns how long it is until
// the next is, and false when none waits.
func (d *Database) Replay() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replayDue()
	if d.mu.replayed == len(d.mu.log) {
		return 0, false
	}
	return d.mu.log[d.mu.replayed].at + d.mu.replayLag - d.clock(), true
}

func (d *Database) replayDue() {
	now := d.clock()
	end := d.mu.replayed
	for end < len(d.mu.log) && d.mu.log[end].at+d.mu.replayLag <= now {
		end++
	}
	d.replay(end)
}

// Cursor is how far a primary has streamed to a member in one term.
type Cursor struct {
	Term    topology.Term
	Matched topology.Position
}

// Outgoing returns what a primary has to stream to a member next: at most limit
// records, each at least lag old. A cursor of another term starts over before
// the latest record. The duration is how long it is until another record is due;
// it is negative when none waits. The last result is false on a replica.
func (d *Database) Outgoing(cursor *Cursor, lag time.Duration, limit int) (Stream, time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mu.role != topology.RolePrimary {
		return Stream{}, 0, false
	}
	if cursor.Term != d.mu.term {
		*cursor = Cursor{Term: d.mu.term, Matched: topology.Position(len(d.mu.log) - 1)}
	}
	start := min(int(cursor.Matched), len(d.mu.log))
	stream := Stream{From: d.id, Term: d.mu.term, Previous: d.pointAt(start)}
	now := d.clock()
	for _, record := range d.mu.log[start:] {
		due := record.at + lag - now
		if due > 0 {
			return stream, due, true
		}
		if len(stream.Records) == limit {
			return stream, 0, true
		}
		stream.Records = append(stream.Records, record.Record)
	}
	return stream, -1, true
}
