package ledger

import "samphirehitch.example/samphirehitch/process/topology"

// LoanID identifies a rate loan by the epoch of the lender's slot lease and a
// number that grows within the epoch. The zero LoanID means no loan.
type LoanID struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// TokenRequest requests tokens from the holder of a slot and reports the loan
// that the sender still has from it. Once it is sent, the sender ignores grants
// for earlier requests.
type TokenRequest struct {
	Customer topology.CustomerID `cbor:"1,keyasint"`
	Slot     int                 `cbor:"2,keyasint"`
	// ID grows with every request of the sender for the customer and slot.
	ID uint64 `cbor:"3,keyasint"`
	// Loan is the sender's loan from the slot, zero when it has none. The sender
	// returns the Returned tokens of it and spends at most Kept tokens after
	// sending the request.
	Loan     LoanID  `cbor:"4,keyasint,omitzero"`
	Kept     float64 `cbor:"5,keyasint,omitempty"`
	Returned float64 `cbor:"6,keyasint,omitempty"`
	// Tokens is the number of tokens requested. Urgent of them are for requests
	// that already wait.
	Tokens float64 `cbor:"7,keyasint,omitempty"`
	Urgent float64 `cbor:"8,keyasint,omitempty"`
	// Demand is the sender's demand in requests per second.
	Demand float64 `cbor:"9,keyasint,omitempty"`
}

// needsGrant reports whether the sender expects a grant. A request that only
// returns a loan needs none.
func (r *TokenRequest) needsGrant() bool { return r.Kept > 0 || r.Tokens > 0 }

// TokenGrant responds to a TokenRequest. It adds tokens to the loan that the
// request kept or creates a loan, which lasts for RateLoanTTL from when the
// request was sent.
type TokenGrant struct {
	Customer topology.CustomerID `cbor:"1,keyasint"`
	Slot     int                 `cbor:"2,keyasint"`
	// ID is that of the request.
	ID uint64 `cbor:"3,keyasint"`
	// Loan is zero when the lender has no loan to the sender of the request on
	// record.
	Loan   LoanID  `cbor:"4,keyasint,omitzero"`
	Tokens float64 `cbor:"5,keyasint,omitempty"`
	// Level is the number of tokens left in the lender's bucket.
	Level float64 `cbor:"6,keyasint,omitempty"`
	// MinIntervalMillis is the minimum time between the borrower's requests, in
	// milliseconds.
	MinIntervalMillis int `cbor:"7,keyasint,omitempty"`
}

// TokenRecall requests that a borrower return now what it does not need of a
// loan, because another instance has too few tokens.
type TokenRecall struct {
	Customer topology.CustomerID `cbor:"1,keyasint"`
	Slot     int                 `cbor:"2,keyasint"`
	Loan     LoanID              `cbor:"3,keyasint"`
}

// TokenHandover is the state in which the holder of a slot leaves a part of a customer's rate
// when it gives up its lease before that has expired. The sender spends and lends nothing of
// the part any more.
type TokenHandover struct {
	Customer topology.CustomerID `cbor:"1,keyasint"`
	Slot     int                 `cbor:"2,keyasint"`
	// Epoch is that of the lease; the next holder's is one higher.
	Epoch uint64 `cbor:"3,keyasint"`
	// Level is the number of tokens in the bucket, Lent that of loans not yet expired.
	Level float64 `cbor:"4,keyasint,omitempty"`
	Lent  float64 `cbor:"5,keyasint,omitempty"`
}

// ConnectionRequest reports to the holder of a slot how many borrowed
// connections of its share the sender keeps, and requests more. From when it is
// sent, the sender uses no more than Kept of them and ignores grants for earlier
// requests.
type ConnectionRequest struct {
	Target topology.TargetID `cbor:"1,keyasint"`
	Slot   int               `cbor:"2,keyasint"`
	// ID grows with every request of the sender for the target and slot.
	ID uint64 `cbor:"3,keyasint"`
	// Epoch is that of the slot lease under which the kept connections were
	// lent.
	Epoch uint64 `cbor:"4,keyasint,omitempty"`
	Kept  int    `cbor:"5,keyasint,omitempty"`
	// Additional is the number of connections requested beyond those kept.
	Additional int `cbor:"6,keyasint,omitempty"`
}

// ConnectionGrant responds to a ConnectionRequest.
type ConnectionGrant struct {
	Target topology.TargetID `cbor:"1,keyasint"`
	Slot   int               `cbor:"2,keyasint"`
	// ID is that of the request.
	ID uint64 `cbor:"3,keyasint"`
	// Epoch is that of the lender's slot lease, zero when the lease has expired.
	Epoch uint64 `cbor:"4,keyasint,omitempty"`
	// Lent is the number of connections of this share that the borrower may have
	// open. When it is lower than Kept of the request, the lender has no such
	// loan on record, and the loan is not renewed.
	Lent int `cbor:"5,keyasint,omitempty"`
}

// ConnectionRecall requests that a borrower return Count connections as they
// become idle.
type ConnectionRecall struct {
	Target topology.TargetID `cbor:"1,keyasint"`
	Slot   int               `cbor:"2,keyasint"`
	Count  int               `cbor:"3,keyasint"`
}

// ConnectionHandover reports the loans of a share of a target's connections whose slot the sender
// has given up before the lease expired. The sender has closed its connections of the share and
// lends no more of them.
type ConnectionHandover struct {
	Target topology.TargetID `cbor:"1,keyasint"`
	Slot   int               `cbor:"2,keyasint"`
	// Epoch is that of the lease; the next holder's is one higher.
	Epoch uint64           `cbor:"3,keyasint"`
	Loans []HandedOverLoan `cbor:"4,keyasint,omitempty"`
}

// HandedOverLoan is the loan of a share to one borrower.
type HandedOverLoan struct {
	Borrower topology.InstanceID `cbor:"1,keyasint"`
	// LastRequestID is that of the borrower's last request that arrived.
	LastRequestID uint64 `cbor:"2,keyasint"`
	Lent          int    `cbor:"3,keyasint"`
}

// Message carries requests, grants, recalls and handovers from the ledger of one
// instance to that of another.
type Message struct {
	TokenRequests      []TokenRequest      `cbor:"1,keyasint,omitempty"`
	TokenGrants        []TokenGrant        `cbor:"2,keyasint,omitempty"`
	TokenRecalls       []TokenRecall       `cbor:"3,keyasint,omitempty"`
	ConnectionRequests []ConnectionRequest `cbor:"4,keyasint,omitempty"`
	ConnectionGrants   []ConnectionGrant   `cbor:"5,keyasint,omitempty"`
	ConnectionRecalls  []ConnectionRecall  `cbor:"6,keyasint,omitempty"`
	TokenHandovers     []TokenHandover     `cbor:"7,keyasint,omitempty"`

	ConnectionHandovers []ConnectionHandover `cbor:"8,keyasint,omitempty"`
}
