package upstream

import (
	"net/http"

	"github.com/pkg/errors"
)

// Proof is what a failed call shows of its delivery. The zero value shows nothing, so that the call may have run.
type Proof uint8

// The values of Proof. Those from ProofNotConnected to ProofMisdirected show that the upstream did not run the call.
const (
	// NoProof means that the call may have run.
	NoProof Proof = iota
	// ProofNotConnected means that no connection could be opened.
	ProofNotConnected
	// ProofNotWritten means that no byte was written on any connection.
	ProofNotWritten
	// ProofWithheld means that this process did not send the call because of what the upstream had stated.
	ProofWithheld
	// ProofRefusal means that a response with the id of the call states that it was not run.
	ProofRefusal
	// ProofMisdirected means that another process has the address, and said so for this call.
	ProofMisdirected
	// ProofForeign means that the response was rejected because it has the id of another call.
	ProofForeign
	// ProofAmbiguous means that a refusal was rejected because its connection carried two calls with its id.
	ProofAmbiguous
	// ProofJoined means that the response was rejected because its head is made of those of two responses.
	ProofJoined
	// ProofMalformed means that the response was rejected because its head is malformed.
	ProofMalformed
)

// proofNames are the names of the proofs in logs and metrics.
var proofNames = [...]string{"none", "not-connected", "not-written", "withheld", "refusal", "misdirected", "foreign", "ambiguous", "joined", "malformed"}

// String returns the name that is used in logs and metrics.
func (p Proof) String() string { return proofNames[p] }

// ProofOf returns what the *CallError in err shows of its call's delivery.
func ProofOf(err error) Proof {
	var call *CallError
	if !errors.As(err, &call) {
		return NoProof
	}
	switch call.Delivery {
	case NotSent:
		return unsentProof(call)
	case Refused:
		if call.Status == http.StatusMisdirectedRequest {
			return ProofMisdirected
		}
		return ProofRefusal
	}
	var foreign *ForeignResponseError
	switch {
	case isMalformed(err):
		return ProofMalformed
	case !errors.As(err, &foreign):
		return NoProof
	case foreign.Joined:
		return ProofJoined
	case foreign.Ambiguous:
		return ProofAmbiguous
	default:
		return ProofForeign
	}
}

func unsentProof(call *CallError) Proof {
	var dial *DialError
	switch {
	case call.Withheld:
		return ProofWithheld
	case errors.As(call, &dial):
		return ProofNotConnected
	default:
		return ProofNotWritten
	}
}
