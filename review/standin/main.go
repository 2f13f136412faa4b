// Command standin plays the outside of a sidecar for the cases of this folder: endpoints, discovery and clients. It uses the standard
// library alone. Each subcommand is one process.
package main

import (
	"fmt"
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

// ports prints free ports of the loopback address, one a line.
func ports(args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer l.Close() // all stay taken until each has been printed
		fmt.Println(l.Addr().(*net.TCPAddr).Port)
	}
	return nil
}
