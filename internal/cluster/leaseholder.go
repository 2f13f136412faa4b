package cluster

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"heathgap/decide"
	"heathgap/internal/clusterparams"
	"heathgap/internal/holdings"
	"heathgap/internal/versions"
)

// decMode bounds what may be told of members and placement before memory is taken: of the widest part, members, twice as many as a
// crew has may come and go at once.
var decMode, _ = cbor.DecOptions{MaxArrayElements: 2 * clusterparams.MaxMembers, MaxMapPairs: 1 << 10, MaxNestedLevels: 16}.DecMode()

// EffectiveRules is what a member acts on.
type EffectiveRules struct {
	Rules    versions.Rules
	Cautious bool   // it holds no lease: the rules agree with every version
	Active   uint64 // the version acted on
	Next     uint64 // acted on together with it, while that is prepared; 0 for none
	Epoch    uint64
}

// LeaseHolder is a member's side of the leases. What it is told it acts on until its lease
// ends, counted from before it asked.
type LeaseHolder struct {
	Self     Member
	params   Params
	ownRules versions.Rules
	// connectTimeout is the time that a connection to an endpoint may take: windows are judged less that.
	connectTimeout decide.Time

	leaseEnd      BootTime // of the lease; 0 before the first
	requestedAt   BootTime // when the newest word was asked for that was taken
	lastEcho      Echo     // of the newest answer
	epoch         uint64
	active        VersionRecord
	next          *VersionRecord
	checked       uint64
	refusal       string
	prepared      uint64
	rules         versions.Rules // of the lease
	cautiousRules versions.Rules
	view          holdings.View
	deltaFailures int   // deltas in a row that could not be taken, of this leader; 1: the whole is asked for
	viewErr       error // the last one's
	// What this sidecar's store says, for the next renewal.
	CaughtUp        []holdings.CaughtUp
	Unreachable     []holdings.Incarnation
	Decommissioning bool // it wants to leave
}

// NewLeaseHolder returns that of a process that has not been told anything.
func NewLeaseHolder(self Member, params Params, ownRules versions.Rules, connectTimeout decide.Time) *LeaseHolder {
	return &LeaseHolder{Self: self, params: params, ownRules: ownRules, connectTimeout: connectTimeout, rules: ownRules, cautiousRules: ownRules.Cautious(params.FixedClasses)}
}

// NextRenewal returns the renewal to be sent now. The caller notes the time before it, for Told.
func (h *LeaseHolder) NextRenewal() Renewal {
	r := Renewal{Member: h.Self, ParamsHash: h.params.Hash(), Epoch: h.epoch, Checked: h.checked, Refusal: h.refusal,
		Prepared: h.prepared, HasActive: h.active.Number, LastEcho: h.lastEcho, CaughtUp: h.CaughtUp, Unreachable: h.Unreachable, Decommissioning: h.Decommissioning, Takes: deltaFormat}
	if h.view.Placement != nil && h.deltaFailures != 1 {
		r.HasMembership, r.HasPlacement = h.view.Epoch, h.view.Placement.Number
	}
	if h.deltaFailures >= maxDeltaFailures {
		r.Takes = 0
	}
	if h.next != nil {
		r.HasNext = h.next.Number
	}
	return r
}

// HandleGrant takes the answer to what was asked at a time. It tells whether what is acted on
// has changed: then the caller puts Acting in force before it asks again, since the next
// renewal says so. An error is an answer that can't be true.
func (h *LeaseHolder) HandleGrant(requestedAt BootTime, g *Grant) (changed bool, err error) {
	if requestedAt < h.requestedAt {
		return false, nil // late word: what was asked for after it says more
	}
	if g.Echo.Term != h.lastEcho.Term {
		h.deltaFailures = 0 // another leader, maybe of another build
	}
	h.requestedAt, h.lastEcho = requestedAt, g.Echo
	if g.Epoch < h.epoch {
		return false, fmt.Errorf("epoch %d after %d: late word, or a crew that was formed anew (then restart this process)", g.Epoch, h.epoch)
	}
	active, err := h.withDocument(&g.Active)
	if err != nil {
		return false, err
	}
	var next *VersionRecord
	if g.Next != nil {
		if next, err = h.withDocument(g.Next); err != nil {
			return false, err
		}
	}
	if active.Number < h.active.Number {
		return false, fmt.Errorf("version %d after %d: what has been active does not come back", active.Number, h.active.Number)
	}
	before := h.versionStamp()
	h.active, h.next, h.epoch = *active, next, g.Epoch
	if g.Granted {
		h.leaseEnd = max(h.leaseEnd, requestedAt+h.params.Lease)
		h.updateView(g)
	}
	h.updateRules()
	return h.versionStamp() != before, nil
}

// versionStamp is equal as long as the rules are.
func (h *LeaseHolder) versionStamp() [3]uint64 {
	stamp := [3]uint64{h.active.Number}
	if h.next != nil {
		stamp[1], stamp[2] = h.next.Number, uint64(h.next.State)
	}
	return stamp
}

// withDocument returns a round with its document: from what came, or from what is known.
func (h *LeaseHolder) withDocument(r *VersionRecord) (*VersionRecord, error) {
	if r.Number == 0 {
		return r, nil
	}
	for _, known := range []*VersionRecord{&h.active, h.next} {
		if known != nil && known.Number == r.Number && known.Hash == r.Hash {
			out := *r
			out.Doc = known.Doc
			return &out, nil
		}
	}
	if err := r.Check(); err != nil {
		return nil, err
	}
	return r, nil
}

// updateRules works out what is acted on, and what is to be said of the proposal under way.
func (h *LeaseHolder) updateRules() {
	activeRules := h.ownRules.With(&h.active.Doc, h.connectTimeout)
	h.rules = activeRules
	if h.next == nil {
		return
	}
	if h.checked != h.next.Number {
		h.checked, h.refusal = h.next.Number, ""
		if err := h.ownRules.CheckTransition(&h.active.Doc, &h.next.Doc, h.params.FixedClasses); err != nil {
			h.refusal = err.Error()
		}
	}
	both, err := activeRules.Intersect(h.ownRules.With(&h.next.Doc, h.connectTimeout))
	if h.next.State == Prepared && err == nil {
		h.rules, h.prepared = both, h.next.Number
		return
	}
	// A ban binds at once wherever it is heard, be it only proposed.
	for _, name := range h.next.Doc.Banned {
		h.rules.Banned[name] = true
	}
}

// Effective is what is acted on at a time, and until when that may be relied on without
// another look.
func (h *LeaseHolder) Effective(now BootTime) EffectiveRules {
	s := EffectiveRules{Rules: h.rules, Active: h.active.Number, Epoch: h.epoch}
	if h.next != nil && h.next.State == Prepared && h.prepared == h.next.Number {
		s.Next = h.next.Number
	}
	if now >= h.leaseEnd {
		s.Cautious, s.Next = true, 0
		s.Rules = h.cautiousRules
		s.Rules.Banned = h.rules.Banned // bans and drains are kept
		s.Rules.MaxAttempts = h.rules.MaxAttempts
	}
	return s
}

// maxDeltaFailures deltas in a row that can't be taken, the last of them whole, have a member ask for the whole as builds do that take no
// changes, without a checksum, for as long as this leader leads.
const maxDeltaFailures = 2

// updateView takes what is told of members and placement, or leaves both as they were.
func (h *LeaseHolder) updateView(g *Grant) {
	switch {
	case len(g.Delta) > 0:
		var d holdings.Delta
		err := decMode.Unmarshal(g.Delta, &d)
		if err == nil && d.Epoch != g.Epoch {
			err = fmt.Errorf("%w: to epoch %d, in one of %d", holdings.ErrDelta, d.Epoch, g.Epoch)
		}
		next := h.view
		if err == nil {
			next, err = h.view.Apply(&d)
		}
		if err != nil {
			h.deltaFailures, h.viewErr = h.deltaFailures+1, err
			return
		}
		h.view, h.deltaFailures = next, 0
	case len(g.Placement) > 0:
		var members []holdings.Member
		var placement holdings.Placement
		err := decMode.Unmarshal(g.Membership, &members)
		if err == nil {
			err = decMode.Unmarshal(g.Placement, &placement)
		}
		if err != nil {
			h.viewErr = err
			return
		}
		h.view = holdings.NewView(g.Epoch, members, &placement)
	}
}

// ViewErr is why what the leader told of members and placement could not be taken the last time; nil while it always could.
func (h *LeaseHolder) ViewErr() error { return h.viewErr }

// View is what it was told last of members and placement; zero before the first, or where nothing is held. What is told here is never
// changed afterwards.
func (h *LeaseHolder) View() holdings.View { return h.view }

// Incarnation is this process's incarnation in the crew, by that view; zero where it is not in.
func (h *LeaseHolder) Incarnation() holdings.Incarnation {
	for _, m := range h.view.Members {
		if m.Token == h.Self.Token && m.Name == h.Self.Name {
			return m.Incarnation
		}
	}
	return holdings.Incarnation{}
}

// LeaseEnd is when the lease ends; 0 before the first.
func (h *LeaseHolder) LeaseEnd() BootTime { return h.leaseEnd }
