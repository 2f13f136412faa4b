package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"heathgap/decide"
)

const good = `{"name":"n3","listen":"127.0.0.1:7070","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":100,"sockets":1000},
 "known":{"index":41,"snapshot":true,"endpoints":[
  {"name":"s-1","address":"127.0.0.1:1","zone":"a","type":"m","group":3,"status":"SERVING","weight":1.5,"since_ms":7}]},
 "settings":{"profiles":[{"name":"look","effect":"repeatable","aim":500,"deadline":2000,"window":4000}],
  "bounds":{"connect_timeout":75,"conn_idle":10000,"most_held":50}}}`

func emptyEnv(string) string { return "" }

func TestParse(t *testing.T) {
	c, err := parse([]byte(good), emptyEnv, false)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.1:7070" || c.Discovery != "127.0.0.1:8500" || c.Seed != 0x8c1f30d27a5be964 {
		t.Errorf("head: %+v", c)
	}
	if c.ConnectTimeout != 75*time.Millisecond || c.IdleTimeout >= 10*time.Second || c.Transport.MaxPending != 50 {
		t.Errorf("connections: %v %v %d", c.ConnectTimeout, c.IdleTimeout, c.Transport.MaxPending)
	}
	if c.HeapBytes >= 100<<20 || c.CallerConns+c.EndpointConns >= 1000 {
		t.Errorf("no memory or no sockets are left over: %d bytes, %d+%d connections", c.HeapBytes, c.CallerConns, c.EndpointConns)
	}
	e := c.KnownList.Endpoints[0]
	if c.KnownList.Index != 41 || e.Name != "s-1" || e.Weight != 1.5 || e.Since != 7*time.Millisecond {
		t.Errorf("known: %+v", c.KnownList)
	}
	if w := c.Settings.Classes[0].Window; w != 3925*time.Millisecond {
		t.Errorf("window %v: a repeat may need 75 ms more until its last byte has come", w)
	}
	if c.Classes["look"].Effect != decide.Safe {
		t.Errorf("classes: %+v", c.Classes)
	}
}

func TestEnvironmentOverridesFile(t *testing.T) {
	c, err := parse([]byte(good), func(key string) string {
		if key == "BALANCER_NAME" {
			return "other"
		}
		return ""
	}, false)
	if err != nil || c.Name != "other" || c.Listen != "127.0.0.1:7070" {
		t.Errorf("%+v, %v", c, err)
	}
}

func TestDefaults(t *testing.T) {
	text := strings.Replace(good, `"limits":{"cores":1.0,"memory_mb":100,"sockets":1000},`, "", 1)
	text = strings.Replace(text, `"bounds":{"connect_timeout":75,"conn_idle":10000,"most_held":50}`, `"bounds":{}`, 1)
	c, err := parse([]byte(text), emptyEnv, false)
	if err != nil {
		t.Fatal(err)
	}
	if c.CallerConns == 0 || c.EndpointConns == 0 || c.HeapBytes == 0 || c.ConnectTimeout == 0 || c.IdleTimeout == 0 {
		t.Errorf("no default: %+v", c)
	}
}

// Each message names the key that is at fault.
func TestErrorsNameTheirKey(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"name":"n3"`, `"name":3`, "name: "},
		{`"name":"n3"`, `"nme":"n3"`, "name: missing"},
		{`"listen":"127.0.0.1:7070"`, `"listen":"nowhere"`, "listen: "},
		{`"discovery":"127.0.0.1:8500"`, `"discovery":"127.0.0.1"`, "discovery: "},
		{`"8c1f30d27a5be964"`, `"seed"`, "seed: "},
		{`"memory_mb":100`, `"memory_mb":"much"`, "limits.memory_mb: "},
		{`"memory_mb":100`, `"memory_mb":-1`, "limits.memory_mb: "},
		{`"sockets":1000`, `"sockets":5`, "limits.sockets: "},
		{`"index":41`, `"index":"x"`, "known: index: "},
		{`"SERVING"`, `"ASLEEP"`, "known: endpoints[0].status: "},
		{`"address":"127.0.0.1:1"`, `"address":""`, "known: endpoints[0].address: "},
		{`"repeatable"`, `"often"`, "settings: profiles[0].effect: "},
		{`"repeatable"`, `null`, "effect: not set"},
		{`"aim":500`, `"aim":0`, "aim: "},
		{`"name":"look"`, `"name":""`, "settings: profiles[0].name: "},
		{`"conn_idle":10000`, `"conn_idle":true`, "settings: bounds.conn_idle: "},
		{`"settings"`, `"setings"`, "settings: missing"},
		{`"seed"`, `"seed`, "malformed JSON"},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		if text == good {
			t.Fatalf("%s: nothing was changed", c.old)
		}
		if _, err := parse([]byte(text), emptyEnv, false); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q in it", c.new, err, c.want)
		}
	}
}

func TestLoad(t *testing.T) {
	if _, err := Load(emptyEnv); err == nil || !strings.Contains(err.Error(), EnvFile) {
		t.Errorf("without a file: %v", err)
	}
	path := filepath.Join(t.TempDir(), "c.json")
	env := func(key string) string { return map[string]string{EnvFile: path}[key] }
	if _, err := Load(env); err == nil || !strings.Contains(err.Error(), EnvFile) {
		t.Errorf("with a file that is not there: %v", err)
	}
	if err := os.WriteFile(path, []byte(good), 0o600); err != nil {
		t.Fatal(err)
	}
	if c, err := Load(env); err != nil || c.Name != "n3" {
		t.Errorf("%+v, %v", c, err)
	}
}

// Guards against a reload that keeps the discovery of the start, which the environment still names.
func TestReloadPrefersFileDiscovery(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	env := func(key string) string {
		return map[string]string{EnvFile: path, envDiscovery: "127.0.0.1:1", envName: "n3"}[key]
	}
	for text, want := range map[string]string{
		good: "127.0.0.1:8500",
		strings.Replace(good, `"discovery":"127.0.0.1:8500",`, "", 1): "127.0.0.1:1",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		first, err := Load(env)
		if err != nil || first.Discovery != "127.0.0.1:1" {
			t.Errorf("start: %+v, %v", first, err)
		}
		next, err := Reload(env)
		if err != nil || next.Discovery != want {
			t.Errorf("reload: %+v, %v, want discovery %s", next, err, want)
		}
	}
}

// NeedRestart names the keys that a running sidecar cannot change, and no others.
func TestNeedRestart(t *testing.T) {
	c, err := parse([]byte(good), emptyEnv, false)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ old, new, want string }{
		{`"discovery":"127.0.0.1:8500"`, `"discovery":"127.0.0.1:8600"`, ""},
		{`"8c1f30d27a5be964"`, `"1"`, ""},
		{`"index":41`, `"index":42`, ""},
		{`"name":"n3"`, `"name":"n4"`, "name"},
		{`"listen":"127.0.0.1:7070"`, `"listen":"127.0.0.1:7071"`, "listen"},
		{`"memory_mb":100`, `"memory_mb":101`, "limits"},
		{`"most_held":50`, `"most_held":51`, "settings"},
		{`"aim":500`, `"aim":501`, "settings"},
	} {
		next, err := parse([]byte(strings.Replace(good, x.old, x.new, 1)), emptyEnv, true)
		if err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(c.NeedRestart(next), ","); got != x.want {
			t.Errorf("%s: %q, want %q", x.new, got, x.want)
		}
	}
}

// Guards against limits under which callers and endpoints take the last descriptor: for every number of sockets, what
// discovery, the console and an upgrade need stays reserved, or half of the sockets if that is less.
func TestDescriptorsAreReserved(t *testing.T) {
	for sockets := minSockets; sockets <= 4096; sockets++ {
		for _, c := range []Config{{}, {Console: "127.0.0.1:1"}} {
			need := reservedSockets
			if c.Console != "" {
				need += reservedForConsole
			}
			if err := c.setLimits(0, sockets); err != nil {
				t.Fatal(err)
			}
			if reserved := sockets - c.CallerConns - c.EndpointConns; reserved < min(need, sockets/2) {
				t.Errorf("%d sockets: %d are reserved, and %d are needed", sockets, reserved, need)
			}
			if c.CallerConns < 2 || c.EndpointConns < 2 || c.CallerConns > sockets*6/10 || c.EndpointConns > sockets*3/10 {
				t.Errorf("%d sockets: %d callers, %d endpoints", sockets, c.CallerConns, c.EndpointConns)
			}
		}
	}
	few := Config{Sockets: 1024}
	if few.LimitSockets(1024) || !few.LimitSockets(64) || few.CallerConns+few.EndpointConns+reservedSockets > 64 || few.Sockets != 1024 {
		t.Errorf("limited to 64 descriptors: %+v", few)
	}
}

// Guards against a process that passes its memory limit with all parts of its memory in use: together with what it takes before the first
// caller comes, they must not be more than the runtime may have.
func TestPartsOfTheMemoryFitBesideTheProcess(t *testing.T) {
	for _, memoryMB := range []float64{32, 64, 96, 192, 2048} {
		for _, sockets := range []int{1024, 65536} {
			c := &Config{}
			if err := c.setLimits(memoryMB, sockets); err != nil {
				t.Fatal(err)
			}
			parts := c.AnswerBytes + c.BodyBytes + int64(c.CallerConns)*callerConnBytes + int64(c.EndpointConns)*endpointConnBytes
			if most := int64(memoryMB * heapShare * (1 << 20)); parts+idleProcessBytes > most {
				t.Errorf("%v MB, %d sockets: %d kB for callers and %d kB for the process by itself, of %d kB", memoryMB, sockets, parts>>10, idleProcessBytes>>10, most>>10)
			}
		}
	}
}

// What a sidecar holds for the others of its cluster is a part of the division of its memory: all other parts shrink with it, and a reload
// with the same limits changes nothing.
func TestHeldMemoryIsAPartOfTheDivision(t *testing.T) {
	limited := func() *Config {
		c := &Config{}
		if err := c.setLimits(96, 1024); err != nil {
			t.Fatal(err)
		}
		return c
	}
	without, byDefault, least := limited(), limited(), limited()
	if err := byDefault.ReserveHeld(0); err != nil {
		t.Fatal(err)
	}
	if err := least.ReserveHeld(1 << 20); err != nil || least.HeldBytes != 1<<20 {
		t.Errorf("%d bytes, %v", least.HeldBytes, err)
	}
	for _, c := range []*Config{byDefault, least} {
		if sum := c.HeldBytes + c.HeapBytes; sum != without.HeapBytes || c.AnswerBytes >= without.AnswerBytes || c.BodyBytes >= without.BodyBytes {
			t.Errorf("%d of %d bytes are divided: %+v", sum, without.HeapBytes, c)
		}
	}
	if byDefault.CallerConns >= without.CallerConns || byDefault.HeldBytes < without.HeapBytes/3 {
		t.Errorf("callers have %d connections of %d, and %d bytes are for what is held", byDefault.CallerConns, without.CallerConns, byDefault.HeldBytes)
	}
	t.Logf("%d callers' connections, %d without", byDefault.CallerConns, without.CallerConns)
	if byDefault.LimitSockets(64); byDefault.CallerConns >= 64 {
		t.Errorf("%d connections with 64 descriptors", byDefault.CallerConns)
	}
	if err := byDefault.ReserveHeld(0); err != nil || byDefault.CallerConns >= 64 {
		t.Errorf("%d connections with 64 descriptors, once the memory is divided anew: %v", byDefault.CallerConns, err)
	}
	if keys := limited().NeedRestart(limited()); len(keys) > 0 || slices.Contains(byDefault.NeedRestart(limited()), "limits") {
		t.Errorf("a reload of the same limits needs a restart: %v", keys)
	}
	if err := limited().ReserveHeld(90 << 20); err == nil || !strings.Contains(err.Error(), "holdings.most_memory") {
		t.Errorf("more than there is: %v", err)
	}
}
