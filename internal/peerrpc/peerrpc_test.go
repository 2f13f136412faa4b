package peerrpc

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"heathgap/internal/env"
)

const timeout = 2 * time.Second

// serve starts a server of a cluster with the handlers echo and no, which refuses.
func serve(t *testing.T, cluster string) *Server {
	t.Helper()
	s, err := Listen(env.Real{}, "127.0.0.1:0", cluster)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.Serve(env.Real{}, map[string]Handler{
		"echo": func(from string, body []byte) (any, error) {
			var text string
			if err := Decode(body, &text); err != nil {
				return nil, err
			}
			return from + ":" + text, nil
		},
		"no": func(string, []byte) (any, error) { return nil, errors.New("it may not be") },
	})
	return s
}

// Guards against calls that lose messages, that confuse refusals with failures, or that do not reconnect after a broken connection.
func TestCall(t *testing.T) {
	s := serve(t, "c")
	c := NewClient(env.Real{}, "c", "me", s.Address())
	defer c.Close()
	var answer string
	for range 2 {
		if err := c.Call("echo", "hello", &answer, timeout); err != nil || answer != "me:hello" {
			t.Fatalf("%q, %v", answer, err)
		}
	}
	for kind, want := range map[string]string{"no": "it may not be", "none": "unknown; allowed"} {
		if err := c.Call(kind, "x", nil, timeout); !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", kind, err)
		}
	}
	if err := c.Call("echo", 7, &answer, timeout); !errors.Is(err, ErrRefused) {
		t.Errorf("a body of the wrong type: %v", err)
	}
	c.link.Close()
	if err := c.Call("echo", "again", &answer, timeout); err != nil || answer != "me:again" {
		t.Errorf("after a broken connection: %q, %v", answer, err)
	}
	other := NewClient(env.Real{}, "other", "me", s.Address())
	defer other.Close()
	if err := other.Call("echo", "x", nil, timeout); !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), "for the crew") {
		t.Errorf("a message of another cluster: %v", err)
	}
	nobody := NewClient(env.Real{}, "c", "me", "127.0.0.1:9")
	if err := nobody.Call("echo", "x", nil, timeout); err == nil || errors.Is(err, ErrRefused) {
		t.Errorf("an address where no server listens: %v", err)
	}
}

// Guards against calls that block for longer than their timeout on a peer that accepts connections and never answers.
func TestCallTimesOut(t *testing.T) {
	silentPeer, err := (env.Real{}).Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silentPeer.Close()
	c := NewClient(env.Real{}, "c", "me", silentPeer.Addr().String())
	defer c.Close()
	began := time.Now()
	if err := c.Call("echo", "x", nil, 100*time.Millisecond); err == nil || time.Since(began) > timeout {
		t.Errorf("%v after %v", err, time.Since(began))
	}
}

// Guards against malformed requests that crash the server or that are answered without a reason.
func TestBadMessages(t *testing.T) {
	s := serve(t, "c")
	url := "http://" + s.Address()
	for _, c := range []struct {
		method, path, body string
		want               int
	}{
		{"POST", "/crew/1/echo", "no CBOR", 400},
		{"POST", "/crew/1/echo", "", 400},
		{"POST", "/crew/1/echo", "\xbb\xff\xff\xff\xff\xff\xff\xff\xff", 400}, // a map of 2^64-1 pairs
		{"GET", "/crew/1/echo", "", 404},
		{"POST", "/crew/2/echo", "", 404},
		{"POST", "/", "", 404},
	} {
		request, err := http.NewRequest(c.method, url+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatalf("%+v: %v", c, err)
		}
		text, _ := io.ReadAll(answer.Body)
		answer.Body.Close()
		if answer.StatusCode != c.want || len(text) == 0 {
			t.Errorf("%+v: %d %q", c, answer.StatusCode, text)
		}
	}
}
