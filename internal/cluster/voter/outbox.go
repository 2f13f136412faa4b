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

// Say is Ways'.
func (k *Keeper) Say(name string, m *raftpb.Message) bool {
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

// Ask is Ways': each question has a goroutine and a connection of its own.
func (k *Keeper) Ask(name string, mine Word) {
	k.world.Go("form", func() {
		line := k.line(name)
		defer line.Close()
		var theirs Word
		if err := line.Call("form", mine, &theirs, peerTime); err == nil {
			k.post(func() { k.core.Hear(theirs) })
		}
	})
}

func (k *Keeper) line(name string) *peerrpc.Line {
	return peerrpc.NewLine(k.world, k.core.conf.Crew, k.core.conf.Name, k.core.conf.Keepers[name])
}

// deliver says what is in an outbox until it is closed.
func (k *Keeper) deliver(o *outbox, name string) {
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
			k.post(func() { k.core.Reported(id, err == nil) })
		}
		if err != nil && errors.Is(err, peerrpc.ErrRefused) && err.Error() != refused {
			refused = err.Error() // once, not with each message
			k.log.Warn().Str("keeper", name).Err(err).Msg("a keeper refuses this one's word")
		}
	}
}
