// Package config reads and checks a sidecar's configuration and derives its limits. All of the configuration is read
// here. Errors name the key that is at fault.
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

// Environment variables.
const (
	EnvFile      = "BALANCER_CONFIG" // path of the configuration file; required
	envName      = "BALANCER_NAME"
	envListen    = "BALANCER_LISTEN"
	envDiscovery = "BALANCER_DISCOVERY"
	envConsole   = "BALANCER_CONSOLE"
)

// Defaults, and the shares of memory and sockets that each use gets.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minSockets      = 16 // fewer leave too little for callers and endpoints

	collectorShare    = 0.7  // of the memory, up to which the collector lets garbage stand
	heapShare         = 0.6  // of the memory, for all that the runtime has: the program needs the rest
	heldShare         = 0.5  // of the heap, for what a sidecar holds for others, where the operator's file does not say how much
	maxHeldShare      = 0.75 // of the heap, the most that may be said there: the parts below are shares of the rest
	answerShare       = 0.2  // of the heap, for bodies of answers
	bodyShare         = 0.1  // of the heap, for bodies of requests
	callerHeapShare   = 0.4  // of the heap, for callers' connections
	endpointHeapShare = 0.25 // of the heap, for connections to endpoints
	callerShare       = 0.6  // of the sockets, for callers
	endpointShare     = 0.3  // of the sockets, for endpoints
	maxReservedShare  = 0.5  // of the sockets, the most that may be reserved: callers and endpoints need some as well

	idleProcessBytes  = 4 << 20  // that the runtime has before the first caller comes
	callerConnBytes   = 22 << 10 // that a caller's connection takes with its goroutines, buffers and the beginning of a body
	endpointConnBytes = 16 << 10 // that a connection to an endpoint takes with its goroutine and its buffer

	// Descriptors reserved for what counts neither as a caller's nor as an endpoint's connection: standard input,
	// output and error (3), the poller (2), the listener, the connection to discovery and the next one that is opened
	// beside it, a configuration file that is read, a caller's connection that is accepted and not yet counted, and two
	// that the runtime may open.
	reservedSockets = 12
	// Reserved in addition with a console: its listener, the calls that it serves at a time (8) and two that still read
	// the answer; for an upgrade the socket on which the successor connects, the connection to the other process, the
	// listener twice while it is handed over, and one connection that is rejected.
	reservedForConsole = 1 + 8 + 2 + 5

	idleShare             = 0.75 // of the time after which endpoints close idle connections: the sidecar closes them before
	defaultIdleTimeout    = 10 * time.Second
	defaultConnectTimeout = time.Second
)

// Config is a sidecar's configuration, with the limits that follow from it.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Console   string // address for operators; empty for no console
	Seed      uint64
	KnownList *httpwire.List // the last known list of endpoints; nil without one
	Settings  decide.Settings
	Transport settings.Transport
	Classes   map[string]decide.Class

	MemoryBytes    int64         // limit of the process's memory
	CollectorBytes int64         // memory limit of the garbage collector
	HeldBytes      int64         // the part of it that held requests and their outcomes may take; 0 without holdings
	HeapBytes      int64         // the part of it that is divided among connections and bodies
	AnswerBytes    int64         // the part of it that answer bodies may take together
	BodyBytes      int64         // the part of it that bodies of requests may take together
	Sockets        int           // file descriptors, as configured
	usableSockets  int           // the same, or the process's own lower limit
	CallerConns    int           // limit for connections of callers, from Sockets or the process's own lower limit
	EndpointConns  int           // limit for connections to endpoints
	ConnectTimeout time.Duration // for opening a connection to an endpoint
	IdleTimeout    time.Duration // the sidecar closes a connection to an endpoint that is idle for this long
}

// Load reads the configuration file that the environment names, at a start.
func Load(env func(string) string) (*Config, error) { return load(env, false) }

// Reload reads the configuration while a sidecar runs. The file's discovery then takes precedence over the
// environment's, which cannot change in a running process and still has the value of the start.
func Reload(env func(string) string) (*Config, error) { return load(env, true) }

// Check reads a configuration file as at a start and returns the first fault that it finds. It ignores the environment.
func Check(path string) error {
	_, err := Load(func(key string) string {
		if key == EnvFile {
			return path
		}
		return ""
	})
	return err
}

// Parse reads the text of a configuration as at a start.
func Parse(text []byte, env func(string) string) (*Config, error) { return parse(text, env, false) }

// load reads the configuration file that the environment names; running is true for a reload.
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

// parse reads the text of a configuration. A variable of the environment takes precedence over its key in the file,
// save for the discovery of a sidecar that is already running.
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

// NeedRestart returns the keys of next that differ from c and that a running sidecar cannot change. Seed and known list
// matter only at a start.
func (c *Config) NeedRestart(next *Config) []string {
	var keys []string
	for _, k := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"console", c.Console == next.Console},
		{"limits", c.MemoryBytes == next.MemoryBytes && c.Sockets == next.Sockets},
		{"settings", c.Transport == next.Transport && reflect.DeepEqual(c.Settings, next.Settings)},
	} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}

// IsForeign reports whether classes belong to another installation: there are some, and none of them is one of c's.
// Guards against a configuration or state of one customer that reaches a sidecar of another.
func (c *Config) IsForeign(classes []string) bool {
	for _, name := range classes {
		if _, ours := c.Classes[name]; ours {
			return false
		}
	}
	return len(classes) > 0
}

// ClassNames returns the sorted names of the classes.
func (c *Config) ClassNames() []string { return slices.Sorted(maps.Keys(c.Classes)) }

// checkAddresses checks the name and that each address has a port; only the console may be absent.
func (c *Config) checkAddresses() error {
	if c.Name == "" {
		return errors.New("name: missing")
	}
	for _, a := range []struct{ key, value string }{
		{"listen", c.Listen}, {"discovery", c.Discovery}, {"console", c.Console},
	} {
		if a.value == "" && a.key == "console" {
			continue // no console is configured
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

// setLimits divides memory and sockets among their uses.
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
	c.MemoryBytes = int64(memoryMB * (1 << 20))
	c.CollectorBytes = int64(memoryMB * collectorShare * (1 << 20))
	c.Sockets, c.usableSockets = sockets, sockets
	c.divideMemory()
	return nil
}

// divideMemory divides the heap among its uses, what is held and what the process takes by itself first.
func (c *Config) divideMemory() {
	c.HeapBytes = int64(float64(c.MemoryBytes)*heapShare) - c.HeldBytes
	c.HeapBytes -= min(idleProcessBytes, c.HeapBytes/2)
	c.AnswerBytes = int64(float64(c.HeapBytes) * answerShare)
	c.BodyBytes = int64(float64(c.HeapBytes) * bodyShare)
	c.divideSockets(c.usableSockets)
}

// ReserveHeld takes memory for what the sidecar holds for the others of its cluster from the other uses of the heap; 0 bytes stand for the
// default share. The error begins with the key of the operator's file.
func (c *Config) ReserveHeld(bytes int64) error {
	heap := float64(c.MemoryBytes) * heapShare
	if bytes == 0 {
		bytes = int64(heap * heldShare)
	}
	if most := int64(heap * maxHeldShare); bytes > most {
		return fmt.Errorf("holdings.most_memory: %d bytes; allowed: up to %d, with limits.memory_mb as it is", bytes, most)
	}
	c.HeldBytes = bytes
	c.divideMemory()
	return nil
}

// divideSockets divides descriptors among their uses, the reserved ones first. Guards against callers or endpoints that
// take the last descriptor: without one, the sidecar could neither receive lists from discovery nor serve operators. There are no
// more connections than there is memory for.
func (c *Config) divideSockets(sockets int) {
	reserved := reservedSockets
	if c.Console != "" {
		reserved += reservedForConsole
	}
	reserved = min(reserved, int(float64(sockets)*maxReservedShare))
	c.EndpointConns = min(int(float64(sockets)*endpointShare), int(float64(sockets-reserved)*endpointShare/(callerShare+endpointShare)))
	c.CallerConns = min(int(float64(sockets)*callerShare), sockets-reserved-c.EndpointConns)
	c.EndpointConns = max(1, min(c.EndpointConns, int(float64(c.HeapBytes)*endpointHeapShare/endpointConnBytes)))
	c.CallerConns = max(1, min(c.CallerConns, int(float64(c.HeapBytes)*callerHeapShare/callerConnBytes)))
}

// LimitSockets lowers the limits to the descriptors that the process may open, if they are fewer than configured. It
// reports whether they are.
func (c *Config) LimitSockets(descriptors uint64) bool {
	if descriptors >= uint64(c.Sockets) {
		return false
	}
	c.usableSockets = max(int(descriptors), minSockets)
	c.divideSockets(c.usableSockets)
	return true
}

// decodeKnownList decodes the last known list, if there is one.
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

// decodeSettings decodes the settings, has the decision module check them, and sets what follows from them: classes, the
// timeouts of connections, and shortened windows.
func (c *Config) decodeSettings(v *fastjson.Value) error {
	if v == nil {
		return errors.New("missing")
	}
	var err error
	if c.Settings, c.Transport, err = settings.Decode(v); err != nil {
		return err
	}
	if _, err := decide.New(c.Settings, c.Seed); err != nil {
		return errors.Unwrap(err) // without the prefix "settings: ", which parse adds
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

// shortenWindows shortens each class's window, in which endpoints drop repeats, by the time that opening a connection
// may take: the decision module checks the window when it decides, and the endpoint when the request's last byte has
// arrived.
func (c *Config) shortenWindows() {
	for i := range c.Settings.Classes {
		class := &c.Settings.Classes[i]
		class.Window = max(0, class.Window-c.ConnectTimeout)
		c.Classes[class.Name] = *class
	}
}
