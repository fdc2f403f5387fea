package promotion

import (
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// ActionKind selects what the driver has to do for an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// ActionRequestObservations sends ObservationRequest to every peer.
	ActionRequestObservations ActionKind = iota + 1
	// ActionClaim attempts the claim for Term. ActionReleaseClaim releases it.
	ActionClaim
	ActionReleaseClaim
	// ActionFence fences Target at Term. ActionPromote promotes Target at Term.
	// ActionCheckPromotion requests Target's status when the result of the
	// promotion is not known.
	ActionFence
	ActionPromote
	ActionCheckPromotion
	// ActionNotifyPeers notifies every peer that a primary of Term was promoted.
	ActionNotifyPeers
	// ActionReportGap reports Gap at the end of a promotion.
	ActionReportGap
)

// Action is one operation that the coordinator requests from its driver. The
// driver passes PhaseID back with the result, so that the coordinator can drop
// results of earlier phases.
type Action struct {
	Kind               ActionKind
	PhaseID            uint64
	Target             platform.Target
	Term               topology.Term
	Cause              Cause
	ObservationRequest ObservationRequest
	Gap                FailoverGap
}

// ObservationRequest requests what a peer observes of a primary of Term or above.
type ObservationRequest struct {
	Number uint64        `cbor:"1,keyasint"`
	Term   topology.Term `cbor:"2,keyasint"`
}

// Observation is what an instance observes of a group's primary.
type Observation uint8

// Observations of a primary.
const (
	// ObservationInconclusive: fewer than a majority respond, or a member has not
	// been silent long enough to be counted as unavailable.
	ObservationInconclusive Observation = iota
	// ObservationPrimaryResponds: a primary responds.
	ObservationPrimaryResponds
	// ObservationNoPrimary: a majority responds and no primary does.
	ObservationNoPrimary
)

// ObservationResponse is a peer's response to the ObservationRequest with the
// same number.
type ObservationResponse struct {
	Number      uint64      `cbor:"1,keyasint"`
	Observation Observation `cbor:"2,keyasint"`
}

// ControlOutcome is the result of a control request to a member.
type ControlOutcome uint8

// Outcomes of control requests.
const (
	// ControlSucceeded: the member carried out the request.
	ControlSucceeded ControlOutcome = iota + 1
	// ControlRefused: the member refused the term.
	ControlRefused
	// ControlIndeterminate: no response came; the request may have taken effect.
	ControlIndeterminate
)

// ClaimOutcome is the result of an attempt at the claim.
type ClaimOutcome uint8

// Outcomes of an attempt at the claim.
const (
	// ClaimGranted: this instance holds the claim.
	ClaimGranted ClaimOutcome = iota + 1
	// ClaimHeldByOther: another instance holds the claim.
	ClaimHeldByOther
	// ClaimUnavailable: the store gave no usable response.
	ClaimUnavailable
)
