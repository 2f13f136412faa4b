package voter

import (
	"errors"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"heathgap/internal/peerrpc"
)

// outbox holds messages for another keeper until its goroutine has said them. Raft says again what is lost.
type outbox struct {
	queue chan *raftpb.Message
}

// Send is Ways'.
func (k *Voter) Send(name string, m *raftpb.Message) bool {
	o := k.out[name]
	if o == nil {
		o = &outbox{queue: make(chan *raftpb.Message, peerQueue)}
		k.out[name] = o
		k.world.Go("keeper", func() { k.deliver(o, name) })
	}
	select {
	case o.queue <- m:
		return true
	default:
		return false
	}
}

// Announce is Ways': each question has a goroutine and a connection of its own.
func (k *Voter) Announce(name string, mine Announcement) {
	k.world.Go("form", func() {
		line := k.line(name)
		defer line.Close()
		var theirs Announcement
		if err := line.Call("form", mine, &theirs, peerTime); err == nil {
			k.post(func() { k.core.HandleAnnouncement(theirs) })
		}
	})
}

func (k *Voter) line(name string) *peerrpc.Client {
	return peerrpc.NewClient(k.world, k.core.conf.Cluster, k.core.conf.Name, k.core.conf.Voters[name])
}

// deliver says what is in an outbox until it is closed.
func (k *Voter) deliver(o *outbox, name string) {
	line := k.line(name)
	defer line.Close()
	refused := ""
	for m := range o.queue {
		var texts [][]byte
		var snapTo []uint64
		for size := 0; m != nil; {
			text, err := proto.Marshal(m)
			if err == nil {
				texts, size = append(texts, text), size+len(text)
			}
			if m.GetType() == raftpb.MsgSnap {
				snapTo = append(snapTo, m.GetTo())
			}
			if m = nil; size < batchBytes {
				select {
				case m = <-o.queue:
				default:
				}
			}
		}
		err := line.Call("raft", texts, nil, peerTime)
		for _, id := range snapTo {
			k.post(func() { k.core.SnapshotReported(id, err == nil) })
		}
		if err != nil && errors.Is(err, peerrpc.ErrRefused) && err.Error() != refused {
			refused = err.Error() // once, not with each message
			k.log.Warn().Str("keeper", name).Err(err).Msg("a keeper refuses this one's word")
		}
	}
}
