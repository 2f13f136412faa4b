package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// late opens a connection for each key and places an order on it, so that it is a usual client's. Later it places the key's order on the
// same connection. Nothing is sent again by itself.
func late(args []string) error {
	flags := flag.NewFlagSet("late", flag.ContinueOnError)
	to := flags.String("to", "", "address of a sidecar")
	keys := flags.String("keys", "", "keys, one for each connection")
	after := flags.Duration("after", time.Second, "when the keys' orders are placed")
	patience := flags.Duration("patience", time.Second, "how long it waits")
	if err := flags.Parse(args); err != nil {
		return err
	}
	end := time.Now().Add(*after)
	var pending sync.WaitGroup
	for key := range strings.SplitSeq(*keys, ",") {
		conn, err := net.Dial("tcp", *to)
		if err != nil {
			return err
		}
		defer conn.Close()
		in := bufio.NewReader(conn)
		if err := place(conn, in, "first-"+key, *patience); err != nil {
			return fmt.Errorf("the first order: %w", err)
		}
		pending.Go(func() {
			time.Sleep(time.Until(end))
			if err := place(conn, in, key, *patience); err != nil {
				logf("client: key=%s: NO ANSWER: %v", key, err)
			}
		})
	}
	pending.Wait()
	return nil
}

// place sends an order on a connection and reads its answer.
func place(conn net.Conn, in *bufio.Reader, key string, patience time.Duration) error {
	const body = "one order"
	began := time.Now()
	conn.SetDeadline(began.Add(patience + 500*time.Millisecond)) //nolint:errcheck // the write fails then
	_, err := fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: service.internal\r\nX-Txn: late.%d.%s\r\nX-Remaining: %.3f\r\nIdempotency-Key: %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", lastTxn.Add(1), key, patience.Seconds(), key, len(body), body)
	if err != nil {
		return fmt.Errorf("not sent: %w", err)
	}
	logf("client: key=%s: order written", key)
	answer, err := http.ReadResponse(in, nil)
	if err != nil {
		return fmt.Errorf("%.2f s after it was written: %w", time.Since(began).Seconds(), err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	logf("client: key=%s: status %d %.60q after %.2f s", key, answer.StatusCode, text, time.Since(began).Seconds())
	return err
}
