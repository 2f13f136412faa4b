package keeper

import (
	"errors"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"heathgap/internal/peers"
)

// outbox holds messages for another keeper until its goroutine has said them. Raft says again what is lost.
type outbox struct {
	queue chan *raftpb.Message
}

// send hands messages to the outboxes of those they are for.
func (k *Keeper) send(messages []*raftpb.Message) {
	for _, m := range messages {
		name := k.nameOf(m.GetTo())
		address := k.conf.Keepers[name]
		if address == "" || !k.maySay(m) {
			continue
		}
		o := k.out[name]
		if o == nil {
			o = &outbox{queue: make(chan *raftpb.Message, peerQueue)}
			k.out[name] = o
			k.world.Go("keeper", func() { k.deliver(o, name, address) })
		}
		select {
		case o.queue <- m:
		default:
			k.Dropped.Add(1)
			k.node.ReportUnreachable(m.GetTo())
		}
	}
}

// deliver says what is in an outbox until it is closed.
func (k *Keeper) deliver(o *outbox, name, address string) {
	line := peers.NewLine(k.world, k.conf.Crew, k.conf.Name, address)
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
			status := raft.SnapshotFinish
			if err != nil {
				status = raft.SnapshotFailure
			}
			k.post(func() { k.node.ReportSnapshot(id, status) })
		}
		if err != nil && errors.Is(err, peers.ErrRefused) && err.Error() != refused {
			refused = err.Error() // once, not with each message
			k.log.Warn().Str("keeper", name).Err(err).Msg("a keeper refuses this one's word")
		}
	}
}
