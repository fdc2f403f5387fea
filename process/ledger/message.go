package ledger

import "samphirehitch.example/samphirehitch/process/topology"

// LoanID names a loan: the epoch of the slot that lent and a number that grows
// within it. Zero means no loan.
type LoanID struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// Ask asks the holder of a slot for tokens and reports the loan that the sender
// still has from it. After sending it the sender takes no answer to an older
// ask.
type Ask struct {
	Customer topology.CustomerID `cbor:"1,keyasint"`
	Slot     int                 `cbor:"2,keyasint"`
	// ID grows with every ask of the sender for the customer and slot.
	ID uint64 `cbor:"3,keyasint"`
	// Loan is the sender's loan from the slot; zero when it has none. From
	// sending on it spends at most Kept tokens of it and gives Left back.
	Loan LoanID  `cbor:"4,keyasint,omitzero"`
	Kept float64 `cbor:"5,keyasint,omitempty"`
	Left float64 `cbor:"6,keyasint,omitempty"`
	// Tokens is the wanted number of tokens, of which Urgent are for requests
	// that wait already.
	Tokens float64 `cbor:"7,keyasint,omitempty"`
	Urgent float64 `cbor:"8,keyasint,omitempty"`
	// Demand is the sender's demand in requests per second.
	Demand float64 `cbor:"9,keyasint,omitempty"`
}

// wants reports whether the ask needs an answer.
func (a *Ask) wants() bool { return a.Kept > 0 || a.Tokens > 0 }

// Grant answers an ask. It adds to the loan that the ask kept or makes a new
// one, which lasts LoanTerm from when the ask was sent.
type Grant struct {
	Customer topology.CustomerID `cbor:"1,keyasint"`
	Slot     int                 `cbor:"2,keyasint"`
	// ID is that of the ask.
	ID uint64 `cbor:"3,keyasint"`
	// Loan is zero when the lender has lent nothing to the sender of the ask.
	Loan   LoanID  `cbor:"4,keyasint,omitzero"`
	Tokens float64 `cbor:"5,keyasint,omitempty"`
	// Level is what the part still holds, in tokens.
	Level float64 `cbor:"6,keyasint,omitempty"`
	// PaceMillis is the shortest time between asks that the lender wants, in
	// milliseconds.
	PaceMillis int `cbor:"7,keyasint,omitempty"`
}

// Recall asks a borrower to give back at once what it does not need of a loan,
// since another instance is short.
type Recall struct {
	Customer topology.CustomerID `cbor:"1,keyasint"`
	Slot     int                 `cbor:"2,keyasint"`
	Loan     LoanID              `cbor:"3,keyasint"`
}

// ConnectionAsk tells the holder of a slot how many connections of its share the
// sender keeps, and asks for more. After sending it the sender uses no more than
// Kept and takes no answer to an older ask.
type ConnectionAsk struct {
	Target topology.TargetID `cbor:"1,keyasint"`
	Slot   int               `cbor:"2,keyasint"`
	// ID grows with every ask of the sender for the target and slot.
	ID uint64 `cbor:"3,keyasint"`
	// Epoch is the epoch of the slot in which the kept connections were lent.
	Epoch uint64 `cbor:"4,keyasint,omitempty"`
	Kept  int    `cbor:"5,keyasint,omitempty"`
	// Wanted is the number of connections wanted beside those kept.
	Wanted int `cbor:"6,keyasint,omitempty"`
}

// ConnectionGrant answers a connection ask.
type ConnectionGrant struct {
	Target topology.TargetID `cbor:"1,keyasint"`
	Slot   int               `cbor:"2,keyasint"`
	// ID is that of the ask.
	ID    uint64 `cbor:"3,keyasint"`
	Epoch uint64 `cbor:"4,keyasint,omitempty"`
	// Lent is the number of connections that the receiver may have open on this
	// slot's share. When it is less than what the ask kept, the lender does not
	// know the loan, which is then not renewed.
	Lent int `cbor:"5,keyasint,omitempty"`
}

// ConnectionRecall asks a borrower to give connections back as they come free.
type ConnectionRecall struct {
	Target topology.TargetID `cbor:"1,keyasint"`
	Slot   int               `cbor:"2,keyasint"`
	Count  int               `cbor:"3,keyasint"`
}

// Message is what the ledgers of two instances send each other.
type Message struct {
	Asks              []Ask              `cbor:"1,keyasint,omitempty"`
	Grants            []Grant            `cbor:"2,keyasint,omitempty"`
	Recalls           []Recall           `cbor:"3,keyasint,omitempty"`
	ConnectionAsks    []ConnectionAsk    `cbor:"4,keyasint,omitempty"`
	ConnectionGrants  []ConnectionGrant  `cbor:"5,keyasint,omitempty"`
	ConnectionRecalls []ConnectionRecall `cbor:"6,keyasint,omitempty"`
}
