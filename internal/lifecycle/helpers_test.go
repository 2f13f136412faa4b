package lifecycle

import (
	"io"
	"net"
	"net/http"
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

// setDeadlines sets the deadline of all classes, in milliseconds.
func setDeadlines(conf map[string]any, ms float64) {
	for _, class := range conf["settings"].(map[string]any)["profiles"].([]any) {
		class.(map[string]any)["deadline"] = ms
	}
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
	path := scripted.WriteConfig(t, conf)
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
