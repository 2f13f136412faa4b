package httpwire

import (
	"bufio"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"heathgap/decide"
	"heathgap/internal/jsonread"
)

// List is a message of discovery: the full list of endpoints, or the changes since an earlier version.
type List struct {
	Index     int64 // version of the list
	Full      bool  `json:"Whole"` // Endpoints is the full list, not changes
	Endpoints []ListedEndpoint
	Bytes     int // size of the message body that held it; 0 if it came from elsewhere
}

// StatusError is the error for an answer of discovery with a status other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e StatusError) Error() string { return "answered " + strconv.Itoa(e.Status) }

// ListedEndpoint is one entry of a list.
type ListedEndpoint struct {
	Name    string // the same at every sidecar
	Address string // under which this sidecar reaches it
	Zone    string
	Cell    int
	State   decide.EndpointState
	Weight  float64
	Since   time.Duration // time of its last start since the Unix epoch; 0 for long ago
}

// maxList is the largest answer of discovery, in bytes: enough for some ten thousand endpoints.
const maxList = 4 << 20

var stateByStatus = map[string]decide.EndpointState{
	"SERVING": decide.Active, "DRAINING": decide.Draining, "DELETED": decide.Gone,
}

// EncodeWatch encodes a call for changes after a version. Discovery waits up to the given time for one.
func EncodeWatch(after int64, wait time.Duration) []byte {
	return encodeGet(fmt.Sprintf("%s?after=%d&wait_ms=%d", pathHosts, after, wait.Milliseconds()))
}

// EncodeFetch encodes a call for the full list.
func EncodeFetch() []byte { return encodeGet(pathHosts) }

func encodeGet(uri string) []byte {
	var h fasthttp.RequestHeader
	h.SetMethod(fasthttp.MethodGet)
	h.SetRequestURI(uri)
	h.SetHost(serviceHost)
	return h.AppendBytes(nil)
}

// DecodeListReply reads discovery's answer. It also reports whether the connection may be used again.
func DecodeListReply(r *bufio.Reader) (List, bool, error) {
	m := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(m)
	body, err := readComplete(m, r, maxList)
	if err != nil {
		return List{}, false, err
	}
	keep := !m.Header.ConnectionClose()
	if status := m.Header.StatusCode(); status != fasthttp.StatusOK {
		return List{}, keep, StatusError{status}
	}
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return List{}, keep, fmt.Errorf("malformed JSON: %w", err)
	}
	list, err := DecodeList(v)
	list.Bytes = len(body)
	return list, keep, err
}

// DecodeList reads a list from discovery or from the configuration.
func DecodeList(v *fastjson.Value) (List, error) {
	o, err := jsonread.New(v)
	if err != nil {
		return List{}, err
	}
	list := List{Index: o.Integer("index"), Full: o.Boolean("snapshot")}
	if !o.Has("index") {
		o.Fail("index", "a version", "nothing")
	}
	if !o.Has("endpoints") {
		o.Fail("endpoints", "an array", "nothing")
	}
	for _, line := range o.Children("endpoints") {
		list.Endpoints = append(list.Endpoints, decodeEndpoint(line))
	}
	if err := o.Err(); err != nil {
		return List{}, err
	}
	return list, nil
}

// decodeEndpoint decodes an entry of a list; errors are collected in o.
func decodeEndpoint(o jsonread.Object) ListedEndpoint {
	e := ListedEndpoint{
		Name:    o.Text("name"),
		Address: o.Text("address"),
		Zone:    o.Text("zone"),
		Cell:    int(o.Integer("group")),
		State:   jsonread.Enum(o, "status", stateByStatus),
		Weight:  1,
		Since:   time.Duration(o.Integer("since_ms")) * time.Millisecond,
	}
	if o.Has("weight") {
		e.Weight = o.Float("weight")
	}
	if e.Name == "" {
		o.Fail("name", "a name", "nothing")
	}
	if !o.Has("status") {
		o.Fail("status", "a status", "nothing")
	}
	if e.Address == "" && e.State != decide.Gone {
		o.Fail("address", "an address", "nothing")
	}
	return e
}
