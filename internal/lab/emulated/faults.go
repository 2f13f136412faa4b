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
	renewPath   = "POST /crew/1/renew "
	lengthField = "Content-Length: "
	bodyField   = 3  // of a message
	tableField  = 19 // of a renewal: the number of the table that the member has
	rosterField = 20 // the epoch of the members that it knows
)

var errNotRenewal = errors.New("forgetful: a renewal does not look as it did when this was written")

// forgotten writes a message; of one that asks for the lease, without the words by which the member says what it has. It tells
// the member that all it wrote went out.
func forgotten(message []byte, write func([]byte) (int, error)) (int, error) {
	if !bytes.HasPrefix(message, []byte(renewPath)) {
		return write(message)
	}
	head, body, found := bytes.Cut(message, []byte("\r\n\r\n"))
	at := bytes.Index(head, []byte(lengthField))
	var said map[uint64]cbor.RawMessage
	var renewal map[uint64]cbor.RawMessage
	if !found || at < 0 || cbor.Unmarshal(body, &said) != nil || cbor.Unmarshal(said[bodyField], &renewal) != nil {
		return 0, errNotRenewal
	}
	delete(renewal, tableField)
	delete(renewal, rosterField)
	raw, err := cbor.Marshal(renewal)
	if err != nil {
		return 0, err
	}
	said[bodyField] = raw
	text, err := cbor.Marshal(said)
	if err != nil {
		return 0, err
	}
	out := fmt.Appendf(bytes.Clone(head[:at]), "%s%d\r\n\r\n", lengthField, len(text))
	if n, err := write(append(out, text...)); err != nil {
		return min(n, len(message)-1), err
	}
	return len(message), nil
}

// heed is what an unheeding member acts on: the version of its first lease, whatever it hears and says later.
type heed struct {
	leased  bool
	version uint64
}

func (h *heed) act(s MemberState) MemberState {
	if !h.leased && !s.Cautious {
		h.leased, h.version = true, s.Active
	}
	if h.leased {
		s.Active, s.Next = h.version, 0
	}
	return s
}
