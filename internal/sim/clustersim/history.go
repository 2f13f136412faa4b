package clustersim

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"heathgap/decide"
	"heathgap/internal/cluster"
	"heathgap/internal/cluster/voter"
	"heathgap/internal/versions"
)

// clientCall is a call of a client: a proposal, or a read of the versions if propose is false.
type clientCall struct {
	propose bool
	parent  uint64
}

// clientResult is the result of a call.
type clientResult struct {
	number       uint64 // of a proposal; 0 if its outcome is unknown
	active, next uint64 // of a read
}

// history holds the calls of the cluster's clients, with their times and results.
type history struct {
	operations []porcupine.Operation
	clients    map[string]int
}

// add adds a call that lasted from from to to.
func (h *history) add(who string, from, to time.Duration, in clientCall, out clientResult) {
	if h.clients == nil {
		h.clients = map[string]int{}
	}
	if _, known := h.clients[who]; !known {
		h.clients[who] = len(h.clients)
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: h.clients[who], Input: in, Output: out, Call: int64(from), Return: int64(to)})
}

// modelState is the state of ledgerModel: the highest version number, and the lowest version that may be active. Versions become
// active without a call, so the model learns of that from later results.
type modelState struct{ last, active uint64 }

// ledgerModel defines which orders of calls are correct: numbers rise by one, the parent of a proposal is the active version, no
// read returns a version before it exists, and no read returns less than an earlier one.
var ledgerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{modelState{}} },
	Step: func(state, input, output any) (next []any) {
		s, in, out := state.(modelState), input.(clientCall), output.(clientResult)
		if !in.propose {
			if out.active < s.active || out.active > s.last || out.next != 0 && out.next != s.last {
				return nil
			}
			return []any{modelState{s.last, out.active}}
		}
		accepted := modelState{s.last + 1, in.parent}
		parentPossible := in.parent >= s.active && in.parent <= s.last
		switch {
		case out.number == 0 && parentPossible:
			return []any{s, accepted}
		case out.number == 0:
			return []any{s}
		case parentPossible && out.number == accepted.last:
			return []any{accepted}
		}
		return nil
	},
}

const checkTimeout = time.Minute // for one history; a check takes milliseconds

// check returns an error unless some order of the calls explains all results (linearizability).
func (h *history) check() error {
	m := ledgerModel.ToModel()
	switch porcupine.CheckOperationsTimeout(m, h.operations, checkTimeout) {
	case porcupine.Illegal:
		return fmt.Errorf("not linearizable: no order of events explains what %d clients were told in %d answers", len(h.clients), len(h.operations))
	case porcupine.Unknown:
		return fmt.Errorf("linearizability check of %d answers did not end within %v", len(h.operations), checkTimeout)
	}
	return nil
}

// clientName is the name of the process that proposes.
const clientName = "client"

// Parameters of the client that proposes.
const (
	proposeTimeout     = time.Second // for one attempt
	maxProposeAttempts = 12
	proposeRetryDelay  = 200 * time.Millisecond
)

// documentState counts the documents generated so far.
type documentState struct{ count int }

// nextDocument generates a document that differs from the one before: the class "pay" is safe or unsafe, and some endpoints are
// banned. One document in eight has a class that no member knows, so that every member rejects it.
func (r *run) nextDocument() versions.Document {
	r.documents.count++
	effect := decide.Unsafe
	if r.documents.count%2 == 0 {
		effect = decide.Safe
	}
	d := versions.Document{Classes: map[string]versions.Class{"pay": {Effect: effect}}, MaxAttempts: 2 + r.documents.count%7}
	for i := range 4 {
		if r.w.chance(0.3) {
			d.Banned = append(d.Banned, fmt.Sprintf("e%d", i))
		}
	}
	if r.w.chance(1.0 / 8) {
		d.Classes["nobody_has"] = versions.Class{Effect: decide.Safe}
	}
	return d
}

// highestActive returns the highest version that is active in the ledger of any voter that runs.
func (r *run) highestActive() (highest uint64) {
	for _, p := range r.running() {
		if p.core != nil && !p.paused {
			l, _ := p.core.Ledger()
			highest = max(highest, l.Active.Number)
		}
	}
	return highest
}

// proposeRepeatedly proposes a document and schedules the next proposal.
func (r *run) proposeRepeatedly() {
	if r.faultsOver {
		return
	}
	r.propose(r.nextDocument(), func(uint64, error) {})
	r.w.schedule(r.w.randomDuration(r.conf.ProposeEvery/4, 7*r.conf.ProposeEvery/4), "propose", "", r.proposeRepeatedly)
}

// proposeUntilReported proposes a valid document until its number is reported, and calls done with the number.
func (r *run) proposeUntilReported(done func(uint64)) {
	d := r.nextDocument()
	delete(d.Classes, "nobody_has")
	r.propose(d, func(n uint64, _ error) {
		if n > 0 {
			done(n)
			return
		}
		r.w.schedule(proposeRetryDelay, "propose", "last", func() { r.proposeUntilReported(done) })
	})
}

// propose proposes a document. It sends the same proposal to one voter after another until one reports the outcome. done gets
// number 0 and an error if the proposal was rejected or its outcome is unknown.
func (r *run) propose(d versions.Document, done func(number uint64, err error)) {
	p := cluster.Proposal{ID: voter.NewID(), Parent: r.highestActive(), Author: clientName, Doc: d}
	from, c := r.w.now, r.processes[clientName]
	who := fmt.Sprintf("client %d", r.documents.count)
	voters := slices.Clone(r.names[:r.conf.Voters])
	type answer struct {
		Result    voter.ProposeResult
		Rejection string
	}
	attempts := 0
	mayBeAccepted := false // an attempt without an answer may have been accepted
	var attempt func()
	attempt = func() {
		if attempts++; attempts > maxProposeAttempts {
			r.result.UnknownOutcomes++
			r.history.add(who, from, 1<<62, clientCall{true, p.Parent}, clientResult{})
			done(0, fmt.Errorf("no voter reported the outcome"))
			return
		}
		to := voters[0]
		call(c, to, "propose", p, proposeTimeout, func(q *process, p cluster.Proposal, reply func(answer)) {
			q.withVoter(func(k *voter.Core) {
				if _, leads := k.IsLeader(); leads && r.bug == ReportsEarly {
					l, _ := k.Ledger()
					reply(answer{Result: voter.ProposeResult{Number: l.LastNumber + 1}})
				}
				k.Propose(p, func(result voter.ProposeResult, err error) {
					a := answer{Result: result}
					if err != nil {
						a.Rejection = err.Error()
					}
					reply(a)
				})
			})
		}, func(a answer, ok bool) {
			switch {
			case ok && a.Result.Number > 0:
				r.reported = append(r.reported, reportedVersion{a.Result.Number, p.ID, from})
				r.history.add(who, from, r.w.now, clientCall{true, p.Parent}, clientResult{number: a.Result.Number})
				done(a.Result.Number, nil)
				return
			case ok && a.Rejection != "" && !mayBeAccepted && a.Rejection != voter.ErrUnknownOutcome.Error():
				done(0, fmt.Errorf("%s", a.Rejection)) // the proposal was rejected
				return
			case ok && a.Result.Leader != "":
				i := slices.Index(voters, a.Result.Leader)
				voters = slices.Insert(slices.Delete(voters, i, i+1), 0, a.Result.Leader)
			default:
				mayBeAccepted = true
				voters = append(voters[1:], to)
			}
			r.w.schedule(proposeRetryDelay, "propose again", who, attempt)
		})
	}
	attempt()
}
