package emulated

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// The injected faults are in the member's environment and in the reports on it. The member's own code is the product's, unchanged.

// The format of a renewal request on the wire (internal/peerrpc, cluster.Renewal). Field numbers are keys of CBOR maps.
const (
	renewPath       = "POST /crew/1/renew "
	lengthField     = "Content-Length: "
	bodyField       = 3  // of the RPC message: the encoded renewal
	placementField  = 19 // of the renewal: the number of the placement that the member has
	membershipField = 20 // of the renewal: the epoch of the membership that the member knows
)

var errNotRenewal = errors.New("forgetful: the renewal request does not have the format that this fault expects")

// writeWithoutState writes a message. From a renewal request it first removes the fields that name the placement and the membership
// that the member has. It returns the full length of the original message, so that the member takes all of it as sent.
func writeWithoutState(message []byte, write func([]byte) (int, error)) (int, error) {
	if !bytes.HasPrefix(message, []byte(renewPath)) {
		return write(message)
	}
	head, body, found := bytes.Cut(message, []byte("\r\n\r\n"))
	at := bytes.Index(head, []byte(lengthField))
	var fields map[uint64]cbor.RawMessage
	var renewal map[uint64]cbor.RawMessage
	if !found || at < 0 || cbor.Unmarshal(body, &fields) != nil || cbor.Unmarshal(fields[bodyField], &renewal) != nil {
		return 0, errNotRenewal
	}
	delete(renewal, placementField)
	delete(renewal, membershipField)
	raw, err := cbor.Marshal(renewal)
	if err != nil {
		return 0, err
	}
	fields[bodyField] = raw
	text, err := cbor.Marshal(fields)
	if err != nil {
		return 0, err
	}
	out := fmt.Appendf(bytes.Clone(head[:at]), "%s%d\r\n\r\n", lengthField, len(text))
	if n, err := write(append(out, text...)); err != nil {
		return min(n, len(message)-1), err
	}
	return len(message), nil
}

// versionPin is the version that a member with the fault IgnoresVersions applies: the one of its first lease, whichever versions it
// receives and reports later.
type versionPin struct {
	isSet   bool
	version uint64
}

// apply returns a member's state with the pinned version in place of the version that the member reports. The first state with a
// lease sets the pin.
func (p *versionPin) apply(s MemberState) MemberState {
	if !p.isSet && !s.Cautious {
		p.isSet, p.version = true, s.Active
	}
	if p.isSet {
		s.Active, s.Next = p.version, 0
	}
	return s
}
