package main

import (
	"fmt"
	"net"
	"os"

	"github.com/gravitational/trace"
)

// Ports are taken below the range from which Linux gives ports to outgoing
// connections (32768 and above), where a connection of another process could
// take a port before its owner binds it. Runs side by side begin at different
// places of the range.
const (
	firstPort = 20_000
	lastPort  = 32_000
	// portStride spreads runs with neighbouring process IDs.
	portStride = 997
)

// nextPort is the port that is tried next.
var nextPort = firstPort + os.Getpid()*portStride%(lastPort-firstPort)

// freePorts returns ports that nobody listens on now and that it has not
// returned lately.
func freePorts(count int) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < count; tries++ {
		if tries > lastPort-firstPort {
			return nil, trace.LimitExceeded("no %d free ports from %d to %d", count, firstPort, lastPort)
		}
		port := nextPort
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		if isFree(port) {
			ports = append(ports, port)
		}
	}
	return ports, nil
}

func isFree(port int) bool {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return false
	}
	listener.Close()
	return true
}
