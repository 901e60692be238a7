package launch

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"fernlanding/internal/harness/link"
)

const (
	firstPort    = 20_000 // least port in use; both limits are below the kernel's range of ephemeral ports
	lastPort     = 30_000
	networkCount = 200 // networks of loopback addresses
	networkGap   = 7   // distance of the first networks of two harnesses with consecutive process IDs
	portGap      = 131 // distance of the first ports of two harnesses with consecutive process IDs
	portStep     = 997 // distance of the first ports of two consecutive attempts
)

// FindNetwork finds a network of loopback addresses and a range of count ports that are free, and
// calls open to listen there. If open fails, FindNetwork tries another network and range. The error
// wraps the error of the last attempt.
func FindNetwork(count int, open func(network, port int) error) error {
	err := errors.New("no attempt made")
	for attempt := range networkCount {
		network := (os.Getpid()*networkGap + attempt) % networkCount
		port := firstPort + (os.Getpid()*portGap+attempt*portStep)%(lastPort-firstPort-count)
		err = checkFree(network, port)
		if err != nil {
			continue
		}
		err = open(network, port)
		if err == nil {
			return nil
		}
	}
	return fmt.Errorf("no free range of %d ports between %d and %d: %w", count, firstPort, lastPort, err)
}

// checkFree returns an error if the port is in use on the network's first address.
func checkFree(network, port int) error {
	listener, err := net.Listen("tcp4", net.JoinHostPort(link.AddrOf(network, 0).String(), strconv.Itoa(port)))
	if err != nil {
		return err
	}
	_ = listener.Close() // no connection was accepted; if the port stays in use, open fails
	return nil
}
