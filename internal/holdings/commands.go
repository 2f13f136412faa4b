package holdings

// pendingCommand is a command with the function that takes its answer.
type pendingCommand struct {
	command *Command
	reply   func(Answer)
}

// Handle executes an owner's command as the primary of its shard. It calls reply at once, or when all replicas have acknowledged the entry
// that the answer is based on. It may never call reply; an owner whose command gets no answer sends it again.
func (st *Store) Handle(now BootTime, c *Command, reply func(Answer)) {
	s := st.shards[c.Key.Shard()]
	// An owner that is not among the known members is rejected too: this sidecar's view may be older than the owner's incarnation, and
	// the owner would count as removed from the cluster.
	if _, isMember := st.members[c.Owner]; !isMember || !st.isPrimary(s) || now >= st.leaseEnd {
		reply(Answer{Kind: AnswerNotPrimary})
		return
	}
	defer st.completeSingleCopy(now)
	t := s.entries[c.Key]
	if t != nil && t.unacked != nil {
		if t.replaceQueued(c, reply) {
			return
		}
		if len(t.queue) >= maxQueued {
			reply(Answer{Kind: AnswerFull})
			return
		}
		t.queue = append(t.queue, pendingCommand{c, reply})
		return
	}
	st.execute(now, s, t, pendingCommand{c, reply})
}

// replaceQueued replaces a command that waits for the key by the same one, if its owner has sent it again, and reports whether it did. The
// owner no longer waits for the answer to the first. Guards against outcomes that are kept once for each time that they were sent.
func (t *trackedEntry) replaceQueued(c *Command, reply func(Answer)) bool {
	for i := range t.queue {
		if q := t.queue[i].command; q.Op == c.Op && q.Owner == c.Owner && q.Claim == c.Claim && q.Rev == c.Rev && q.Fingerprint == c.Fingerprint {
			t.queue[i] = pendingCommand{c, reply}
			return true
		}
	}
	return false
}

// execute executes a command according to the entry of its key; t is nil if there is none. If the entry has not been acknowledged by all
// replicas of the present configuration, execute replicates it first and queues the command.
func (st *Store) execute(now BootTime, s *shard, t *trackedEntry, p pendingCommand) {
	c := p.command
	if len(s.Replicas) < st.params.Copies {
		p.reply(Answer{Kind: AnswerTooFewReplicas})
		return
	}
	if t != nil && t.replicatedConfig != s.Config {
		// This guards against an answer that is based on an entry which a former primary sent to this sidecar alone.
		t.queue = append(t.queue, p)
		st.replicate(s, t)
		return
	}
	ownClaim := t != nil && t.Owner == c.Owner && t.Claim == c.Claim
	switch {
	case t == nil || t.State == Free:
		st.executeNew(now, s, t, p)
	case t.Fingerprint != c.Fingerprint:
		p.reply(Answer{Kind: AnswerMismatch})
	case t.State == Done && (c.Op == OpClaim || c.Op == OpReclaim || c.Op == OpFinish && ownClaim):
		if c.Op == OpFinish {
			p.reply(Answer{Kind: AnswerOK})
			return
		}
		p.reply(Answer{Kind: AnswerFinished, Outcome: t.Outcome})
	case c.Op == OpClaim && ownClaim && t.State == Claimed, c.Op == OpGiveUp && ownClaim && t.State == Unknown, c.Op == OpReclaim && ownClaim && t.State == Claimed:
		p.reply(Answer{Kind: AnswerOK, Rev: t.Rev}) // a repeated command: its first answer was lost
	case c.Op == OpClaim || c.Op == OpReclaim && c.Rev != t.Rev:
		kind := AnswerUnknown
		if st.ownerActive(now, t) {
			kind = AnswerRunning
		}
		p.reply(Answer{Kind: kind, Rev: t.Rev, Age: now - t.claimedAt})
	case c.Op == OpReclaim:
		if st.ownerActive(now, t) {
			p.reply(Answer{Kind: AnswerRunning})
			return
		}
		st.changeIfRoom(now, s, t, p, func(e *Entry) { e.State, e.Owner, e.Claim, e.Lifetime = Claimed, c.Owner, c.Claim, c.Lifetime })
	case !ownClaim || t.State != Claimed:
		// This guards against an owner that was paused and meanwhile removed from the cluster: another owner may have the key now.
		p.reply(Answer{Kind: AnswerFenced})
	case c.Op == OpFinish:
		st.changeIfRoom(now, s, t, p, func(e *Entry) { e.State, e.Outcome = Done, c.Outcome })
	case c.Op == OpGiveUp:
		st.changeEntry(now, s, t, p, func(e *Entry) { e.State = Unknown })
	case c.Op == OpDrop:
		st.changeEntry(now, s, t, p, func(e *Entry) { e.State = Free })
	default:
		p.reply(Answer{Kind: AnswerFenced})
	}
}

// ownerActive reports whether an entry's owner may still act on its claim: the owner is in the cluster, and the lifetime of its claim is
// not over.
func (st *Store) ownerActive(now BootTime, t *trackedEntry) bool {
	_, isMember := st.members[t.Owner]
	return isMember && t.State == Claimed && now < t.changedAt+t.Lifetime+AgeSlack
}

// executeNew executes a command for a key that has no entry (t is nil) or a free one. A claim creates the entry.
func (st *Store) executeNew(now BootTime, s *shard, t *trackedEntry, p pendingCommand) {
	c := p.command
	if c.Op != OpClaim {
		kind := AnswerFenced
		if c.Op == OpDrop {
			kind = AnswerOK
		}
		p.reply(Answer{Kind: kind})
		return
	}
	if s.knownLost > 0 && now < s.lostAt+st.params.Keep+backupGrace {
		p.reply(Answer{Kind: AnswerLost})
		return
	}
	claimed := Entry{Key: c.Key, State: Claimed, Owner: c.Owner, Claim: c.Claim, Lifetime: c.Lifetime, Fingerprint: c.Fingerprint}
	more := claimed.memory(true, st.limits.MaxBody)
	if t != nil {
		more -= t.memory(t.reserved, st.limits.MaxBody)
	}
	if t == nil && len(s.entries) >= max(1, st.limits.MaxEntries/NumShards) || !st.hasRoom(now, s, more) {
		p.reply(Answer{Kind: AnswerFull})
		return
	}
	if t == nil {
		t = &trackedEntry{Entry: Entry{Key: c.Key}}
		s.entries[c.Key] = t
		st.Entries++
		st.account(t, 1)
		st.useRoom(s, t.memory(t.reserved, st.limits.MaxBody))
	}
	t.claimedAt = now
	st.changeEntry(now, s, t, p, func(e *Entry) {
		claimed.Key, claimed.Rev = e.Key, e.Rev
		*e = claimed
	})
}

// changeIfRoom is changeEntry, unless the shard has no room for the changed entry: then the answer is AnswerFull.
func (st *Store) changeIfRoom(now BootTime, s *shard, t *trackedEntry, p pendingCommand, edit func(e *Entry)) {
	changed := t.Entry
	edit(&changed)
	if !st.hasRoom(now, s, changed.memory(changed.State == Claimed, st.limits.MaxBody)-t.memory(t.reserved, st.limits.MaxBody)) {
		p.reply(Answer{Kind: AnswerFull})
		return
	}
	st.changeEntry(now, s, t, p, edit)
}

// changeEntry changes an entry and replicates it. The command is answered with AnswerOK when all replicas have acknowledged the change.
func (st *Store) changeEntry(now BootTime, s *shard, t *trackedEntry, p pendingCommand, edit func(e *Entry)) {
	before := st.Memory
	st.account(t, -1)
	edit(&t.Entry)
	t.reserved = t.State == Claimed
	st.account(t, 1)
	st.useRoom(s, st.Memory-before)
	s.revCount++
	t.Rev, t.changedAt, t.replicatedConfig = Rev{s.Config, s.revCount}, now, 0
	rev := t.Rev
	t.onReplicated = append(t.onReplicated, func() { p.reply(Answer{Kind: AnswerOK, Rev: rev}) })
	st.replicate(s, t)
}
