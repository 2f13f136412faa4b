package harness

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// The history of each key, as its clients and the endpoints saw it, must fit one order of events in which the effect happens once, after the
// request that asked for it was sent, and every answer that was told is that effect's.

// keyOp is one event of a key: a client's try, or an effect at the endpoints.
type keyOp struct {
	Key    string
	Effect bool
	Reply  string // of the effect, or as it was told; empty where a try told nothing
}

// keyState is what has happened to a key.
type keyState struct {
	reply string // of the effect; empty before it
}

var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		var order []string
		for _, op := range history {
			key := op.Input.(keyOp).Key
			if byKey[key] == nil {
				order = append(order, key)
			}
			byKey[key] = append(byKey[key], op)
		}
		out := make([][]porcupine.Operation, 0, len(order))
		for _, key := range order {
			out = append(out, byKey[key])
		}
		return out
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, op := state.(keyState), input.(keyOp)
		switch {
		case op.Effect:
			return s.reply == "", keyState{op.Reply}
		case op.Reply == "":
			return true, s // it was refused, or nobody knows
		}
		return s.reply == op.Reply, s
	},
	Equal: func(a, b any) bool { return a == b },
}

// keyHistory collects events. Times are of the rig's one clock.
type keyHistory struct{ ops []porcupine.Operation }

func (h *keyHistory) add(op keyOp, from, to time.Duration) {
	h.ops = append(h.ops, porcupine.Operation{ClientId: len(h.ops), Input: op, Call: int64(from), Return: int64(to)})
}

// linearizable tells whether there is such an order.
func (h *keyHistory) linearizable() bool { return porcupine.CheckOperations(keyModel, h.ops) }
