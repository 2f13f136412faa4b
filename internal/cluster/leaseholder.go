package cluster

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"heathgap/decide"
	"heathgap/internal/clusterparams"
	"heathgap/internal/holdings"
	"heathgap/internal/versions"
)

// decMode bounds what a member decodes of the members and the placement, before memory is allocated. The longest list is that of
// changed members: twice as many as a cluster has may join and leave at once.
var decMode, _ = cbor.DecOptions{MaxArrayElements: 2 * clusterparams.MaxMembers, MaxMapPairs: 1 << 10, MaxNestedLevels: 16}.DecMode()

// EffectiveRules is what a member applies at a given time.
type EffectiveRules struct {
	Rules versions.Rules
	// Cautious means that the member holds no lease: classes and hedging are safe under every possible version; bans and MaxAttempts
	// are the last known ones.
	Cautious bool
	Active   uint64 // the active version
	Next     uint64 // the prepared version applied together with Active; 0 if there is none
	Epoch    uint64
	// LooserKey is the first key found in which the active version is looser than the sidecar's own settings, which then bind; empty if
	// there is none.
	LooserKey string
}

// LeaseHolder is a member's side of its lease. The member applies what the leader granted until the lease ends. The lease is
// counted from the moment before the request was sent.
type LeaseHolder struct {
	Self     Member
	params   Params
	ownRules versions.Rules
	// connectTimeout is how long connecting to an endpoint may take: versions.Rules.Effective shortens windows by it,
	// because a repeat is judged that much earlier than its last byte arrives at the endpoint.
	connectTimeout decide.Time

	leaseEnd      BootTime // 0 before the first lease
	requestedAt   BootTime // when the request of the newest accepted answer was sent
	lastEcho      Echo     // from the newest answer
	epoch         uint64
	active        VersionRecord
	next          *VersionRecord
	checked       uint64
	refusal       string
	prepared      uint64
	rules         versions.Rules // that apply while the lease lasts
	looserKey     string         // as in EffectiveRules
	cautiousRules versions.Rules
	view          holdings.View
	deltaFailures int   // consecutive deltas of this leader that could not be applied; after 1 the full view is requested
	viewErr       error // from the newest delta or view that could not be applied
	// To be reported with the next renewal: what the member's holdings store has found, and that the member is being decommissioned.
	CaughtUp        []holdings.CaughtUp
	Unreachable     []holdings.Incarnation
	Decommissioning bool
}

// NewLeaseHolder returns the lease holder of a process that has not received any grant.
func NewLeaseHolder(self Member, params Params, ownRules versions.Rules, connectTimeout decide.Time) *LeaseHolder {
	return &LeaseHolder{Self: self, params: params, ownRules: ownRules, connectTimeout: connectTimeout, rules: ownRules, cautiousRules: ownRules.Cautious(params.FixedClasses)}
}

// NextRenewal returns the renewal to send now. The caller notes the time before sending it and passes it to HandleGrant.
func (h *LeaseHolder) NextRenewal() Renewal {
	r := Renewal{Member: h.Self, ParamsHash: h.params.Hash(), Epoch: h.epoch, Checked: h.checked, Refusal: h.refusal,
		Prepared: h.prepared, HasActive: h.active.Number, LastEcho: h.lastEcho, CaughtUp: h.CaughtUp, Unreachable: h.Unreachable, Decommissioning: h.Decommissioning, DeltaFormat: deltaFormat}
	if h.view.Placement != nil && h.deltaFailures != 1 {
		r.HasMembership, r.HasPlacement = h.view.Epoch, h.view.Placement.Number
	}
	if h.deltaFailures >= maxDeltaFailures {
		r.DeltaFormat = 0
	}
	if h.next != nil {
		r.HasNext = h.next.Number
	}
	return r
}

// HandleGrant processes the answer to a renewal that was sent at requestedAt. It reports whether the effective rules have changed: then the
// caller must put Effective into effect before it sends the next renewal, which confirms them to the leader. An error means an
// answer that contradicts an earlier one or names a malformed version.
func (h *LeaseHolder) HandleGrant(requestedAt BootTime, g *Grant) (changed bool, err error) {
	if requestedAt < h.requestedAt {
		return false, nil // stale message: the answer to a later request has been processed
	}
	if g.Echo.Term != h.lastEcho.Term {
		h.deltaFailures = 0 // another leader, possibly of another build
	}
	h.requestedAt, h.lastEcho = requestedAt, g.Echo
	if g.Epoch < h.epoch {
		return false, fmt.Errorf("the grant is of epoch %d, after epoch %d: a stale message, or the crew was formed anew (then restart this process)", g.Epoch, h.epoch)
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
		return false, fmt.Errorf("the grant names active version %d after version %d: an earlier version never becomes active again", active.Number, h.active.Number)
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

// versionStamp identifies the versions and states that the rules follow from; it changes whenever they do.
func (h *LeaseHolder) versionStamp() [3]uint64 {
	stamp := [3]uint64{h.active.Number}
	if h.next != nil {
		stamp[1], stamp[2] = h.next.Number, uint64(h.next.State)
	}
	return stamp
}

// withDocument returns a version record with its document: the one already known for its number and hash, which the leader leaves out,
// or else the one received, which is checked. Number 0 has no document.
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

// updateRules derives the rules from the active and the next version, and what to report about the proposal in progress.
func (h *LeaseHolder) updateRules() {
	activeRules := h.ownRules.Effective(&h.active.Doc, h.connectTimeout)
	h.rules = activeRules
	h.looserKey = h.ownRules.LooserKey(&h.active.Doc, h.connectTimeout)
	if h.next == nil {
		return
	}
	if h.checked != h.next.Number {
		h.checked, h.refusal = h.next.Number, ""
		if err := h.ownRules.CheckTransition(&h.active.Doc, &h.next.Doc, h.params.FixedClasses); err != nil {
			h.refusal = err.Error()
		}
	}
	both, err := activeRules.Intersect(h.ownRules.Effective(&h.next.Doc, h.connectTimeout))
	if h.next.State == Prepared && err == nil {
		h.rules, h.prepared = both, h.next.Number
		return
	}
	// A ban takes effect as soon as a member learns of it, even if it is only proposed.
	for _, name := range h.next.Doc.Banned {
		h.rules.Banned[name] = true
	}
}

// Effective returns what the member applies at the given time. Without a valid lease these are the cautious rules, with the bans and
// MaxAttempts last known.
func (h *LeaseHolder) Effective(now BootTime) EffectiveRules {
	s := EffectiveRules{Rules: h.rules, Active: h.active.Number, Epoch: h.epoch, LooserKey: h.looserKey}
	if h.next != nil && h.next.State == Prepared && h.prepared == h.next.Number {
		s.Next = h.next.Number
	}
	if now >= h.leaseEnd {
		s.Cautious, s.Next = true, 0
		s.Rules = h.cautiousRules
		s.Rules.Banned = h.rules.Banned // Banned and MaxAttempts stay those last known
		s.Rules.MaxAttempts = h.rules.MaxAttempts
	}
	return s
}

// maxDeltaFailures is the number of consecutive failures to apply a delta after which a member requests the full view in the format
// without a checksum that older builds use, for as long as this leader leads. After the first failure, it requests a delta that holds
// the full view.
const maxDeltaFailures = 2

// updateView applies the members and the placement of a grant. If they can't be applied, it leaves both as they were and sets viewErr.
func (h *LeaseHolder) updateView(g *Grant) {
	switch {
	case len(g.Delta) > 0:
		var d holdings.Delta
		err := decMode.Unmarshal(g.Delta, &d)
		if err == nil && d.Epoch != g.Epoch {
			err = fmt.Errorf("%w: the delta leads to epoch %d, in a grant of epoch %d", holdings.ErrDelta, d.Epoch, g.Epoch)
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

// ViewErr returns the newest error of applying the members or the placement of a grant; nil if there was none. A later success does
// not clear it.
func (h *LeaseHolder) ViewErr() error { return h.viewErr }

// View returns the newest members and placement received; zero before the first, or if the cluster has no holdings. A returned view
// is never changed afterwards.
func (h *LeaseHolder) View() holdings.View { return h.view }

// Incarnation returns this process's incarnation in the cluster, by the newest view; zero if it isn't a member.
func (h *LeaseHolder) Incarnation() holdings.Incarnation {
	for _, m := range h.view.Members {
		if m.Token == h.Self.Token && m.Name == h.Self.Name {
			return m.Incarnation
		}
	}
	return holdings.Incarnation{}
}

// LeaseEnd returns when the lease ends; 0 before the first lease.
func (h *LeaseHolder) LeaseEnd() BootTime { return h.leaseEnd }
