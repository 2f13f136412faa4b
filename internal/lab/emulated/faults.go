package emulated

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// The planted faults stand in the member's world and in what is told of it; the member's own code is the product's.

// What a question for the lease looks like on the wire (internal/peerrpc, crew.Renewal).
const (
	renewPath       = "POST /crew/1/renew "
	lengthField     = "Content-Length: "
	bodyField       = 3  // of a message
	placementField  = 19 // of a renewal: the number of the table that the member has
	membershipField = 20 // the epoch of the members that it knows
)

var errNotRenewal = errors.New("forgetful: a renewal does not look as it did when this was written")

// writeWithoutState writes a message; of one that asks for the lease, without the words by which the member says what it has. It tells
// the member that all it wrote went out.
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

// versionPin is what an unheeding member acts on: the version of its first lease, whatever it hears and says later.
type versionPin struct {
	isSet   bool
	version uint64
}

func (p *versionPin) apply(s MemberState) MemberState {
	if !p.isSet && !s.Cautious {
		p.isSet, p.version = true, s.Active
	}
	if p.isSet {
		s.Active, s.Next = p.version, 0
	}
	return s
}
