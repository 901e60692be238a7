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
	firstPort    = 20_000 // below the ports that the kernel assigns by itself
	lastPort     = 30_000
	networkCount = 200 // networks of loopback addresses
	networkGap   = 7   // between the first networks of two harnesses with consecutive process ids
	portGap      = 131 // between their first ports
	portStep     = 997 // from one attempt to the next
)

// FindNetwork finds a network of loopback addresses and a range of count ports that are free, and
// calls open to listen there. If open fails, it tries others. The error is that of the last
// attempt.
func FindNetwork(count int, open func(network, port int) error) error {
	err := errors.New("no attempt has been made")
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
	return fmt.Errorf("no free ports from %d to %d: %w", firstPort, lastPort, err)
}

// checkFree reports an error if a port of a network's first address is in use.
func checkFree(network, port int) error {
	listener, err := net.Listen("tcp4", net.JoinHostPort(link.AddrOf(network, 0).String(), strconv.Itoa(port)))
	if err != nil {
		return err
	}
	_ = listener.Close() // nothing has been accepted; a port that stays in use fails in open
	return nil
}
