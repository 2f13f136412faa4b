// Package simwire runs instances of the decision module behind the simulator's wire protocol.
//
// It only translates between the wire and the module; it decides nothing. Each instance is a
// balancer of its own and sees nothing of the others.
package simwire

import (
	"bufio"
	"fmt"
	"io"

	"github.com/valyala/fastjson"

	"heathgap/decide"
	"heathgap/internal/settings"
)

// listSlots is how many numbered endpoint lists are kept at once.
const listSlots = 16

// readBuffer is the initial size of the line reader, in bytes.
const readBuffer = 1 << 20

// Host runs the instances of one process.
type Host struct {
	instances   map[string]*instance
	lists       [listSlots][]decide.Endpoint // endpoint lists by their numbers on the wire
	parser      fastjson.Parser
	interned    map[string]string // see internString
	actions     []decide.Action
	out         []byte       // the reply being built
	event       decide.Event // the event being decoded
	values      []float64    // values of the event's load report
	actionCount int          // actions in the reply so far
}

// instance is one running balancer.
type instance struct {
	name     string
	balancer *decide.Balancer
	report   decide.Report
}

// instanceError is a failure that belongs to one instance. It is reported in the reply.
type instanceError struct {
	name string
	err  error
}

func (e *instanceError) Error() string { return fmt.Sprintf("instance %s: %v", e.name, e.err) }
func (e *instanceError) Unwrap() error { return e.err }

// NewHost returns a host without instances.
func NewHost() *Host {
	return &Host{instances: map[string]*instance{}, interned: map[string]string{}}
}

// Serve reads batches from r, one a line, and writes one reply line for each to w, until r ends. It
// returns an error for a batch that can't be handled; if the error belongs to an instance, the
// reply reports it as a fault first.
func (h *Host) Serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, readBuffer)
	out := bufio.NewWriter(w)
	for number := 1; ; number++ {
		line, err := readLine(in)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %d: reading: %w", number, err)
		}
		reply, err := h.Batch(line)
		if reply != nil {
			if _, werr := out.Write(append(reply, '\n')); werr != nil {
				return fmt.Errorf("batch %d: writing: %w", number, werr)
			}
			if werr := out.Flush(); werr != nil {
				return fmt.Errorf("batch %d: writing: %w", number, werr)
			}
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", number, err)
		}
	}
}

// readLine returns the next line, of any length. It returns io.EOF when nothing is left; a last
// line without a newline is still returned.
func readLine(in *bufio.Reader) ([]byte, error) {
	line, err := in.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	whole := append([]byte(nil), line...)
	for err == bufio.ErrBufferFull {
		line, err = in.ReadSlice('\n')
		whole = append(whole, line...)
	}
	if err == io.EOF && len(whole) > 0 {
		return whole, nil
	}
	return whole, err
}

// Batch handles one batch and returns the reply, which is valid until the next call. With an error
// the reply is nil, unless it reports a fault.
func (h *Host) Batch(line []byte) ([]byte, error) {
	h.out = append(h.out[:0], `{"steps":[`...)
	h.actionCount = 0
	err := h.batch(line)
	if err != nil {
		fault, ok := err.(*instanceError)
		if !ok {
			return nil, err
		}
		h.appendFault(fault)
	}
	h.out = append(h.out, `]}`...)
	return h.out, err
}

// batch handles the events of one batch in turn.
func (h *Host) batch(line []byte) error {
	doc, err := h.parser.ParseBytes(line)
	if err != nil {
		return fmt.Errorf("malformed JSON: %w", err)
	}
	if doc.Type() != fastjson.TypeObject {
		return fmt.Errorf("a batch is an object, not %s", doc.Type())
	}
	now, err := fieldDuration(doc, "ts")
	if err != nil {
		return err
	}
	input := doc.Get("input")
	if input == nil {
		return fmt.Errorf("input: missing")
	}
	events, err := input.Array()
	if err != nil {
		return fmt.Errorf("input: %w", err)
	}
	for i, message := range events {
		if err := h.message(now, message); err != nil {
			if fault, ok := err.(*instanceError); ok {
				fault.err = fmt.Errorf("event %d: %w", i, fault.err)
				return fault
			}
			return fmt.Errorf("event %d: %w", i, err)
		}
	}
	return nil
}

// message handles one message of a batch.
func (h *Host) message(now decide.Time, v *fastjson.Value) error {
	values, err := v.Array()
	if err != nil || len(values) == 0 {
		return fmt.Errorf("a message is a non-empty array that begins with its name; this one is of type %s", v.Type())
	}
	kind, err := values[0].StringBytes()
	if err != nil {
		return fmt.Errorf("name: %w", err)
	}
	row := row{values: values[1:], name: h.internString(kind)}
	if row.name == "list" {
		return h.list(row)
	}
	name, err := row.text(0, "sidecar")
	if err != nil {
		return fmt.Errorf("%s: %w", row.name, err)
	}
	if err := h.instanceMessage(now, h.internString(name), row); err != nil {
		return &instanceError{name: string(name), err: fmt.Errorf("%s: %w", row.name, err)}
	}
	return nil
}

// instanceMessage handles one message to an instance.
func (h *Host) instanceMessage(now decide.Time, name string, row row) error {
	switch row.name {
	case "power_on":
		return h.powerOn(now, name, row)
	case "killed":
		delete(h.instances, name)
		return nil
	}
	inst := h.instances[name]
	if inst == nil {
		return fmt.Errorf("no such instance is running")
	}
	deliver, err := h.decode(row, &inst.report)
	if err != nil || !deliver {
		return err
	}
	return h.step(now, inst)
}

// powerOn starts an instance. It replaces a running one of the same name.
func (h *Host) powerOn(now decide.Time, name string, row row) error {
	seed, err := row.integer(1, "prng")
	if err != nil {
		return err
	}
	conf := row.at(2)
	if conf == nil {
		return fmt.Errorf("conf: missing")
	}
	set, _, err := settings.Decode(conf)
	if err != nil {
		return fmt.Errorf("conf: %w", err)
	}
	balancer, err := decide.New(set, seed)
	if err != nil {
		return fmt.Errorf("conf: %w", err)
	}
	inst := &instance{name: name, balancer: balancer, report: set.Report}
	h.instances[name] = inst
	h.event = decide.Event{Kind: decide.Start}
	return h.step(now, inst)
}

// step delivers h.event to an instance and writes its actions to the reply. A panic in the module
// becomes an error.
func (h *Host) step(now decide.Time, inst *instance) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	h.actions = inst.balancer.Handle(now, &h.event, h.actions[:0])
	for i := range h.actions {
		h.appendAction(inst.name, &h.actions[i])
	}
	return nil
}

// internString converts b to a string and reuses the string of an earlier call with equal bytes:
// there are few names of instances, classes and tenants.
func (h *Host) internString(b []byte) string {
	if s, ok := h.interned[string(b)]; ok {
		return s
	}
	s := string(b)
	h.interned[s] = s
	return s
}
