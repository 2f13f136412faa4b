// Package config reads, checks and completes a sidecar's configuration: it is
// the one place for that. Errors name the key that is at fault.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/jsonread"
	"heathgap/internal/settings"
)

// Variables of the environment.
const (
	EnvFile      = "BALANCER_CONFIG" // path of the configuration file; required
	envName      = "BALANCER_NAME"
	envListen    = "BALANCER_LISTEN"
	envDiscovery = "BALANCER_DISCOVERY"
	envConsole   = "BALANCER_CONSOLE"
)

// Defaults, and parts of the limits that each use may take.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minSockets      = 16 // fewer leave no room for both sides

	answerShare      = 0.25 // of the heap, for bodies of answers
	heapShare        = 0.6  // of the memory: stacks, buffers and the program need the rest
	callerShare      = 0.6  // of the sockets, for callers
	endpointShare    = 0.3  // for endpoints; the rest is kept
	maxReservedShare = 0.5  // of the sockets, so many may be kept at most: both sides need some as well

	// Descriptors that are kept for what callers and endpoints do not count: standard input, output and error, the poller's
	// two, the listener, discovery's connection and the next one's beside it, a configuration that is read, the one that a
	// caller takes before it is counted, and two that the runtime may open.
	reservedSockets = 12
	// With a console also: its listener, the calls that it serves at a time and two that still read the answer; of an
	// upgrade the way in, the other process, the listener twice while it is handed over, and one that is turned away.
	reservedForConsole = 1 + 8 + 2 + 5

	idleShare             = 0.75 // of the time after which endpoints end idle connections
	defaultIdleTimeout    = 10 * time.Second
	defaultConnectTimeout = time.Second
)

// Config is all that a sidecar is told, with what follows from it.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Console   string // where operators connect; empty for no console
	Seed      uint64
	KnownList *httpwire.List // the list as last known; nil without one
	Settings  decide.Settings
	Transport settings.Transport
	Classes   map[string]decide.Class

	HeapBytes      int64         // the collector's limit
	AnswerBytes    int64         // of it, what bodies of answers may take together
	Sockets        int           // descriptors, as configured
	CallerConns    int           // of them, or of fewer that the process may hold, connections of callers
	EndpointConns  int           // connections to endpoints
	ConnectTimeout time.Duration // for a connection to an endpoint
	IdleTimeout    time.Duration // a connection to an endpoint may stand idle for so long
}

// Load reads the configuration that the environment names, for a start.
func Load(env func(string) string) (*Config, error) { return load(env, false) }

// Reload reads it anew while a sidecar runs. An environment cannot change then and
// still has the discovery of the start: the file's goes before it.
func Reload(env func(string) string) (*Config, error) { return load(env, true) }

// Check reads a configuration file as a start would, and tells what is wrong with
// it. Nothing of the environment counts.
func Check(path string) error {
	_, err := Load(func(key string) string {
		if key == EnvFile {
			return path
		}
		return ""
	})
	return err
}

// Parse reads a configuration's text as a start would.
func Parse(text []byte, env func(string) string) (*Config, error) { return parse(text, env, false) }

func load(env func(string) string, running bool) (*Config, error) {
	path := env(EnvFile)
	if path == "" {
		return nil, errors.New(EnvFile + ": not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", EnvFile, err)
	}
	c, err := parse(text, env, running)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// parse reads the configuration file. The environment goes before it where both
// say the same thing, save for the discovery of a sidecar that runs already.
func parse(text []byte, env func(string) string, running bool) (*Config, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("malformed JSON: %w", err)
	}
	o, err := jsonread.New(v)
	if err != nil {
		return nil, err
	}
	c := &Config{
		Name:      cmp.Or(env(envName), o.Text("name")),
		Listen:    cmp.Or(env(envListen), o.Text("listen")),
		Discovery: cmp.Or(env(envDiscovery), o.Text("discovery")),
		Console:   cmp.Or(env(envConsole), o.Text("console")),
	}
	if running {
		c.Discovery = cmp.Or(o.Text("discovery"), env(envDiscovery))
	}
	seed := o.Text("seed")
	limits := o.Child("limits")
	memory, sockets := limits.Float("memory_mb"), int(limits.Float("sockets"))
	if err := o.Err(); err != nil {
		return nil, err
	}
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a number of up to 16 hex digits", seed)
	}
	if err := c.setLimits(memory, sockets); err != nil {
		return nil, err
	}
	if err := c.decodeKnownList(v.Get("known")); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	if err := c.decodeSettings(v.Get("settings")); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return c, nil
}

// NeedRestart names the keys by which next differs from c and that a running
// sidecar cannot take over. Seed and known list only matter at a start.
func (c *Config) NeedRestart(next *Config) []string {
	var keys []string
	for _, k := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"console", c.Console == next.Console},
		{"limits", c.HeapBytes == next.HeapBytes && c.Sockets == next.Sockets},
		{"settings", c.Transport == next.Transport && reflect.DeepEqual(c.Settings, next.Settings)},
	} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}

// IsForeign tells whether settings that name these classes are another installation's: there are some, and none of them is
// one of c's. Guards against what belongs to one customer and is met where another's is expected.
func (c *Config) IsForeign(classes []string) bool {
	for _, name := range classes {
		if _, ours := c.Classes[name]; ours {
			return false
		}
	}
	return len(classes) > 0
}

// ClassNames are the names of the classes, in their order by name.
func (c *Config) ClassNames() []string { return slices.Sorted(maps.Keys(c.Classes)) }

func (c *Config) checkAddresses() error {
	if c.Name == "" {
		return errors.New("name: missing")
	}
	for _, a := range []struct{ key, value string }{
		{"listen", c.Listen}, {"discovery", c.Discovery}, {"console", c.Console},
	} {
		if a.value == "" && a.key == "console" {
			continue // none is wanted
		}
		if a.value == "" {
			return fmt.Errorf("%s: missing", a.key)
		}
		if _, port, err := net.SplitHostPort(a.value); err != nil || port == "" {
			return fmt.Errorf("%s: %q is not an address with a port", a.key, a.value)
		}
	}
	return nil
}

// setLimits parts memory and sockets among their uses.
func (c *Config) setLimits(memoryMB float64, sockets int) error {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	sockets = cmp.Or(sockets, defaultSockets)
	if memoryMB < 0 {
		return fmt.Errorf("limits.memory_mb: %v is not above 0", memoryMB)
	}
	if sockets < minSockets {
		return fmt.Errorf("limits.sockets: %d is below %d", sockets, minSockets)
	}
	c.HeapBytes = int64(memoryMB * heapShare * (1 << 20))
	c.AnswerBytes = int64(float64(c.HeapBytes) * answerShare)
	c.Sockets = sockets
	c.divideSockets(sockets)
	return nil
}

// divideSockets parts descriptors among their uses. What is kept comes first: guards against callers or endpoints that take
// the last descriptor, without which nothing is heard of discovery and no operator is.
func (c *Config) divideSockets(sockets int) {
	reserved := reservedSockets
	if c.Console != "" {
		reserved += reservedForConsole
	}
	reserved = min(reserved, int(float64(sockets)*maxReservedShare))
	c.EndpointConns = min(int(float64(sockets)*endpointShare), int(float64(sockets-reserved)*endpointShare/(callerShare+endpointShare)))
	c.CallerConns = min(int(float64(sockets)*callerShare), sockets-reserved-c.EndpointConns)
}

// LimitSockets keeps to fewer descriptors than are configured, where the process may hold no more, and tells whether it may not.
func (c *Config) LimitSockets(descriptors uint64) bool {
	if descriptors >= uint64(c.Sockets) {
		return false
	}
	c.divideSockets(max(int(descriptors), minSockets))
	return true
}

func (c *Config) decodeKnownList(v *fastjson.Value) error {
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	list, err := httpwire.DecodeList(v)
	if err != nil {
		return err
	}
	c.KnownList = &list
	return nil
}

func (c *Config) decodeSettings(v *fastjson.Value) error {
	if v == nil {
		return errors.New("missing")
	}
	var err error
	if c.Settings, c.Transport, err = settings.Decode(v); err != nil {
		return err
	}
	if _, err := decide.New(c.Settings, c.Seed); err != nil {
		return errors.Unwrap(err)
	}
	c.Classes = map[string]decide.Class{}
	for i, class := range c.Settings.Classes {
		if class.Name == "" {
			return fmt.Errorf("profiles[%d].name: missing", i)
		}
		c.Classes[class.Name] = class
	}
	c.ConnectTimeout = cmp.Or(c.Transport.ConnectTimeout, defaultConnectTimeout)
	idle := cmp.Or(c.Transport.IdleTimeout, defaultIdleTimeout)
	if c.ConnectTimeout < 0 || idle < 0 {
		return errors.New("bounds.connect_timeout, bounds.conn_idle: below 0")
	}
	c.IdleTimeout = time.Duration(float64(idle) * idleShare)
	c.shortenWindows()
	return nil
}

// shortenWindows takes the time that a connection may need off the windows in
// which repeats are dropped: the module judges a repeat when it decides, and the
// endpoint when its last byte has come.
func (c *Config) shortenWindows() {
	for i := range c.Settings.Classes {
		class := &c.Settings.Classes[i]
		class.Window = max(0, class.Window-c.ConnectTimeout)
		c.Classes[class.Name] = *class
	}
}
