package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// wait waits until GET /up of each address answers 200.
func wait(args []string) error {
	end := time.Now().Add(20 * time.Second)
	for _, address := range args {
		for {
			answer, err := http.Get("http://" + address + "/up")
			if err == nil {
				answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", address)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

var lastTxn atomic.Int64

// try sends one request and returns the status, 0 without an answer, and the body. The client gives up, and closes its connection, when
// its time is over.
func try(client *http.Client, address, path, key string, patience time.Duration) (status int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader("one order"))
	if err != nil {
		return 0, err.Error()
	}
	q.GetBody = nil // nothing is sent again by itself
	txn := fmt.Sprintf("t%d.%d", os.Getpid(), lastTxn.Add(1))
	q.Header.Set("X-Txn", txn)
	q.Header.Set("X-Remaining", fmt.Sprintf("%.3f", patience.Seconds()))
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	answer, err := client.Do(q)
	if err == nil {
		defer answer.Body.Close()
		var text []byte
		if text, err = io.ReadAll(answer.Body); err == nil {
			status, body = answer.StatusCode, strings.TrimSpace(string(text))
		}
	}
	logf("client: key=%s txn=%s through %s: status %d %.60q", key, txn, address, status, body)
	return status, body
}

// send sends one request and prints what came of it.
func send(args []string) error {
	flags := flag.NewFlagSet("send", flag.ContinueOnError)
	to := flags.String("to", "", "address of a sidecar")
	path := flags.String("path", "/order/x", "path")
	key := flags.String("key", "", "key")
	patience := flags.Duration("patience", time.Second, "how long it waits")
	if err := flags.Parse(args); err != nil {
		return err
	}
	try(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, *to, *path, *key, *patience)
	return nil
}

// orders plays clients that each place one order and repeat it, with its key, until it is served: once soon, and once
// when the endpoints have forgotten the key.
func orders(args []string) error {
	flags := flag.NewFlagSet("orders", flag.ContinueOnError)
	to := flags.String("to", "", "addresses of sidecars")
	rate := flags.Float64("rate", 3, "orders a second")
	count := flags.Int("count", 20, "orders")
	patience := flags.Duration("patience", time.Second, "how long a try waits")
	backoff := flags.Duration("backoff", 100*time.Millisecond, "wait before the second try")
	pause := flags.Duration("pause", 7*time.Second, "wait before the last try")
	if err := flags.Parse(args); err != nil {
		return err
	}
	sidecars := strings.Split(*to, ",")
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	var pending sync.WaitGroup
	for n := range *count {
		pending.Go(func() {
			key := fmt.Sprintf("o%d", n)
			for attempt := range 3 {
				switch attempt {
				case 1:
					time.Sleep(*backoff)
				case 2:
					time.Sleep(*pause)
				}
				if status, _ := try(client, sidecars[(n+attempt)%len(sidecars)], "/order/x", key, *patience); status == http.StatusOK {
					return
				}
			}
		})
		time.Sleep(time.Duration(float64(time.Second) / *rate))
	}
	pending.Wait()
	return nil
}

// call sends one line to a sidecar's console and prints the answer.
func call(args []string) error {
	conn, err := net.DialTimeout("tcp", args[0], time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	fmt.Fprintln(conn, strings.Join(args[1:], " "))
	text, err := io.ReadAll(conn)
	fmt.Print(string(text))
	return err
}
