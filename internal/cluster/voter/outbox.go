package voter

import (
	"errors"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"heathgap/internal/peerrpc"
)

// outbox queues messages for another voter until a goroutine sends them. Raft repeats lost messages.
type outbox struct {
	queue chan *raftpb.Message // closed when the voter stops
}

// Send implements Transport.
func (v *Voter) Send(name string, m *raftpb.Message) bool {
	box := v.outboxes[name]
	if box == nil {
		box = &outbox{queue: make(chan *raftpb.Message, peerQueue)}
		v.outboxes[name] = box
		v.env.Go("keeper", func() { v.sendOutbox(box, name) })
	}
	select {
	case box.queue <- m:
		return true
	default:
		return false
	}
}

// Announce implements Transport: each announcement has its own goroutine and connection.
func (v *Voter) Announce(name string, own Announcement) {
	v.env.Go("form", func() {
		client := v.newClient(name)
		defer client.Close()
		var theirs Announcement
		if err := client.Call("form", own, &theirs, peerTimeout); err == nil {
			v.post(func() { v.core.HandleAnnouncement(theirs) })
		}
	})
}

func (v *Voter) newClient(name string) *peerrpc.Client {
	return peerrpc.NewClient(v.env, v.core.conf.Cluster, v.core.conf.Name, v.core.conf.Voters[name])
}

// sendOutbox sends the messages of an outbox until its queue is closed.
func (v *Voter) sendOutbox(box *outbox, name string) {
	client := v.newClient(name)
	defer client.Close()
	lastRefusal := ""
	for m := range box.queue {
		var messages [][]byte
		var snapshotsTo []uint64
		for size := 0; m != nil; {
			encoded, err := proto.Marshal(m)
			if err == nil {
				messages, size = append(messages, encoded), size+len(encoded)
			}
			if m.GetType() == raftpb.MsgSnap {
				snapshotsTo = append(snapshotsTo, m.GetTo())
			}
			if m = nil; size < batchBytes {
				select {
				case m = <-box.queue:
				default:
				}
			}
		}
		err := client.Call("raft", messages, nil, peerTimeout)
		for _, id := range snapshotsTo {
			v.post(func() { v.core.SnapshotReported(id, err == nil) })
		}
		if err != nil && errors.Is(err, peerrpc.ErrRefused) && err.Error() != lastRefusal {
			lastRefusal = err.Error() // log each reason once, not with each message
			v.log.Warn().Str("keeper", name).Err(err).Msg("another keeper refuses the raft messages of this keeper")
		}
	}
}
