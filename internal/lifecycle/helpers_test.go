package lifecycle

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"heathgap/internal/config"
	"heathgap/internal/lab/scripted"
	"heathgap/internal/operator"
)

// patience limits every wait of the tests, far above what any should take.
const patience = 20 * time.Second

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not happen in time: %s", what)
		}
	}
}

// testSettings returns the settings of a small deployment.
func testSettings() map[string]any {
	class := func(name, effect string, worth float64) map[string]any {
		return map[string]any{
			"name": name, "effect": effect, "group": "all", "aim": 500.0, "deadline": 2000.0,
			"window": 2000.0, "worth": worth, "late_share": 0.5, "stream": false,
		}
	}
	return map[string]any{
		"me": 0, "replicas_of_me": 1, "az": "z", "tier": 0, "stages": []string{"one", "two"}, "tick": 2.0,
		"membership_mode": "subscribe", "weights": "silent", "worth_by": "request", "over_share_worth": 0.1,
		"bounds": map[string]any{
			"cancel": true, "second_copies": true, "retry_after": true, "probing": false, "max_attempts": 4,
			"max_retry_after": 2000.0, "connect_timeout": 500.0, "conn_idle": 10000.0, "most_held": 1000,
		},
		"rules": map[string]any{
			"answer_slack": 20.0, "ask_every": 10000.0, "cold": 8000.0, "cold_from": 0.3,
			"drain_grace": 1000.0, "fall_multiple": 3.0, "overload_for": 3000.0,
		},
		"profiles": []any{class("look", "repeatable", 1), class("pay", "by_key", 3), class("burn", "once", 3)},
	}
}

// testConfig returns the configuration file as an object, for changes.
func testConfig(d *scripted.Discovery, known ...map[string]any) map[string]any {
	return map[string]any{
		"name": "t0", "listen": "127.0.0.1:0", "discovery": d.Address, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  scripted.FullList(1, known...), "settings": testSettings(),
	}
}

// setDeadlines sets the deadline of all classes, in milliseconds.
func setDeadlines(conf map[string]any, ms float64) {
	for _, class := range conf["settings"].(map[string]any)["profiles"].([]any) {
		class.(map[string]any)["deadline"] = ms
	}
}

func writeConfig(t *testing.T, conf map[string]any) string {
	t.Helper()
	text, err := json.Marshal(conf)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// testSidecar is a sidecar that runs in the test's process.
type testSidecar struct {
	*Sidecar
	log     *logBuffer
	stopped bool
}

func start(t *testing.T, conf map[string]any) *testSidecar {
	t.Helper()
	return startWith(t, conf, Options{Operator: operator.Default()})
}

func startWith(t *testing.T, conf map[string]any, opts Options) *testSidecar {
	t.Helper()
	path := writeConfig(t, conf)
	c, err := config.Load(func(key string) string {
		if key == config.EnvFile {
			return path
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	s := &testSidecar{log: &logBuffer{}}
	if s.Sidecar, err = Start(c, zerolog.New(s.log), opts); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if !s.stopped {
			s.stayTime = 0
			s.Stop()
		}
	})
	return s
}

// lastID numbers requests: no two pending requests may have the same ID.
var lastID atomic.Int64

func newID() string { return "t" + strconv.FormatInt(lastID.Add(1), 10) }

// request returns a valid request of a caller.
func request(t *testing.T, address, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if method == http.MethodGet {
		r.Body = http.NoBody
		r.ContentLength = 0
	}
	r.Header.Set("X-Txn", newID())
	r.Header.Set("X-Org", "acme")
	r.Header.Set("X-Remaining", "1.5")
	return r
}

// send sends a request on a new connection and returns the status and body of the answer.
func send(t *testing.T, r *http.Request) (int, string) {
	t.Helper()
	status, body, err := trySend(r)
	if err != nil {
		t.Fatal(err)
	}
	return status, body
}

func trySend(r *http.Request) (int, string, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	answer, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(body), err
}

func get(t *testing.T, address, path string) (int, string) {
	t.Helper()
	return send(t, request(t, address, http.MethodGet, path, ""))
}

// dial opens a connection that is closed at the end of the test and times out after patience.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	return conn
}
