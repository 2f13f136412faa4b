// Command standin plays the outside of a sidecar for the cases of this folder: endpoints, discovery and clients. It uses the standard
// library alone. Each subcommand is one process.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
)

func main() {
	commands := map[string]func([]string) error{
		"ports": ports, "endpoints": endpoints, "discovery": discovery, "wait": wait, "send": send, "orders": orders, "late": late, "call": call,
	}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin: ports, endpoints, discovery, wait, send, orders, late, call")
		os.Exit(2)
	}
	if err := commands[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintf(os.Stderr, "standin %s: %v\n", os.Args[1], err)
		os.Exit(2)
	}
}

// ports prints free ports of the loopback address, one a line. They lie below the range from which systems give ports to connections by
// default, so that no connection takes one before a process of the case listens there.
func ports(args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	for tries := 0; n > 0; tries++ {
		if tries > 10000 {
			return errors.New("too few free ports")
		}
		port := 12000 + rand.IntN(20000)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer l.Close() // all stay taken until each has been printed
		fmt.Println(port)
		n--
	}
	return nil
}
