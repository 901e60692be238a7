package follow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"fernlanding/internal/distribution"
)

// DefaultHold is the default hold of a read.
const DefaultHold = 4 * time.Second

// Subscriber applies the updates of resources. Run calls its methods one at a time and in order.
type Subscriber interface {
	// ApplyUpdate puts an update in force. An error rejects the update: the previous version stays
	// in force, and the error text is reported.
	ApplyUpdate(update distribution.Update) error
	// UpdateFailed is called when no relay has responded for some time. The current version stays
	// in force.
	UpdateFailed()
}

// Transport calls relays. Its methods are safe for concurrent use.
type Transport interface {
	// Follow sends a request and returns the response. Its errors include
	// distribution.ErrUnknownSession and *httpapi.OverloadedError.
	Follow(ctx context.Context, address string, req *distribution.FollowRequest) (*distribution.FollowResponse, error)
	// Ready returns nil if a relay responds and is not disconnected from the source.
	Ready(ctx context.Context, address string) error
	// Close closes idle connections.
	Close()
}

// Config configures a Follower.
type Config struct {
	// Name is the name of the follower, unique in the fleet and the same after a restart.
	Name string
	Kind distribution.Kind
	// Relays are the addresses of the relays in the form host:port.
	Relays []string
	// Hold is the time that a read waits for an update, at most one minute. 0 means DefaultHold.
	Hold time.Duration
	// Rand is the random generator, used only by Run. Nil means a generator with a random seed.
	Rand *rand.Rand
	// Log is the logger. Nil means no logging.
	Log *slog.Logger
	// Dial opens connections. Nil means the default dialer of httpapi.NewClient.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// withDefaults returns the configuration with defaults for unset fields and with Hold limited to
// its maximum.
func (c Config) withDefaults() Config {
	if c.Hold == 0 {
		c.Hold = DefaultHold
	}
	c.Hold = min(c.Hold, distribution.MaxHoldMs*time.Millisecond)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c
}

// Health is the state of a Follower's connection to its relays.
type Health struct {
	// Relay is the address of the relay that the follower reads from, empty before the first
	// response.
	Relay string
	// SilentSince is the time since which no relay has responded, zero while one responds.
	SilentSince time.Time
	// LastResponse is the time of the last response, zero before the first response.
	LastResponse time.Time
	// SourceAge is the time between the last response of the source to the relay and LastResponse.
	SourceAge time.Duration
	// Disconnected reports that the relay, or a relay upstream of it, has no upstream that
	// responds.
	Disconnected bool
}

// Stats are counters since the start of the follower.
type Stats struct {
	BytesIn, BytesOut        int64 // bytes received and sent on all connections
	MessagesIn, MessagesOut  int64 // responses received and requests sent
	Updates, SnapshotUpdates int64 // updates applied, and snapshots among them
	Rejected                 int64 // updates that subscribers rejected
	Sessions                 int64 // sessions opened, each with all positions
	Switches                 int64 // switches from one relay to another
}
