package console

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"heathgap/internal/env"
)

const testTimeout = 20 * time.Second

// fakeOperations is a sidecar with one endpoint, e1.
type fakeOperations struct{ calls chan string }

func (f *fakeOperations) Ready() bool             { return true }
func (f *fakeOperations) Metrics() []byte         { return []byte("sidecar.active:3|g\n") }
func (f *fakeOperations) Disable(id string) error { return f.change("off ", id) }
func (f *fakeOperations) Enable(id string) error  { return f.change("on ", id) }

func (f *fakeOperations) change(what, id string) error {
	if id != "e1" {
		return errors.New("endpoint " + id + " has never been listed")
	}
	f.calls <- what + id
	return nil
}

func openConsole(t *testing.T) (*Console, *fakeOperations) {
	t.Helper()
	f := &fakeOperations{calls: make(chan string, 9)}
	c, err := Open("127.0.0.1:0", env.Real{}, f, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c, f
}

func call(t *testing.T, c *Console, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", c.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, text)
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("%.40q: %v", text, err)
	}
	return string(answer)
}

func TestCalls(t *testing.T) {
	c, f := openConsole(t)
	for text, want := range map[string]string{
		"READY\n":                           "200 ready\n",
		"READY\r\n":                         "200 ready\n",
		"STATS\n":                           "200 figures\nsidecar.active:3|g\nEOF\n",
		"DISABLE e1\n":                      "200 DISABLE done\n",
		" ENABLE  e1 \n":                    "200 ENABLE done\n",
		"DISABLE e2\n":                      "400 endpoint e2 has never been listed\n",
		"DISABLE e2\x00\xff\n":              "400 endpoint e2?? has never been listed\n",
		"DISABLE\n":                         "400 DISABLE takes one id, not 0\n",
		"ENABLE e1 e2\n":                    "400 ENABLE takes one id, not 2\n",
		"READY now\n":                       "400 READY takes no argument\n",
		"ready\n":                           `400 unknown call "ready"; ` + errAllowedCalls.Error() + "\n",
		"\n":                                "400 an empty line; " + errAllowedCalls.Error() + "\n",
		"GET / HTTP/1.1\r\n":                `400 unknown call "GET"; ` + errAllowedCalls.Error() + "\n",
		strings.Repeat("x", maxLine) + "\n": "400 a line of 512 bytes or more; " + errAllowedCalls.Error() + "\n",
	} {
		if got := call(t, c, text); got != want {
			t.Errorf("%.40q: %q, want %q", text, got, want)
		}
	}
	if len(f.calls) != 2 {
		t.Errorf("%d changes, want 2", len(f.calls))
	}
}

// Guards against callers that connect and complete no call: they must not keep others out, and must be closed.
func TestSilentCallers(t *testing.T) {
	c, _ := openConsole(t)
	var silent []net.Conn
	for range 3 * maxCalls {
		conn, err := net.Dial("tcp", c.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, "REA")
		silent = append(silent, conn)
	}
	begin := time.Now()
	if got := call(t, c, "READY\n"); got != "200 ready\n" || time.Since(begin) > time.Second {
		t.Errorf("beside silent callers: %q after %v", got, time.Since(begin))
	}
	silent[0].SetDeadline(time.Now().Add(testTimeout))
	if _, err := silent[0].Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the oldest silent caller is still there: %v", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) > maxCalls {
		t.Errorf("%d calls are open, %d are allowed", len(c.calls), maxCalls)
	}
}

// Guards against closing a caller that sends its line slowly.
func TestSlowCaller(t *testing.T) {
	c, _ := openConsole(t)
	conn, err := net.Dial("tcp", c.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	for _, part := range []string{"RE", "AD", "Y\n"} {
		io.WriteString(conn, part)
		time.Sleep(100 * time.Millisecond)
	}
	if answer, err := io.ReadAll(conn); string(answer) != "200 ready\n" {
		t.Errorf("a slow call: %q, %v", answer, err)
	}
}
