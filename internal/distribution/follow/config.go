package follow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"fernlanding/internal/distribution"
)

// DefaultHold is how long a read waits for an update.
const DefaultHold = 4 * time.Second

// Subscriber applies the updates of resources. Its methods are called one at a time and in order,
// all from Run.
type Subscriber interface {
	// ApplyUpdate puts an update in force. An error rejects it: what was in force stays so, and the
	// error's text is reported.
	ApplyUpdate(update distribution.Update) error
	// UpdateFailed is called when no relay has answered for some time. What was in force stays so.
	UpdateFailed()
}

// Transport calls relays. Its methods are safe for concurrent use.
type Transport interface {
	// Follow sends a request and returns the response. Errors: distribution.ErrUnknownSession,
	// *httpapi.OverloadedError, others.
	Follow(ctx context.Context, address string, req *distribution.FollowRequest) (*distribution.FollowResponse, error)
	// Ready returns nil if a relay answers and hears from the source.
	Ready(ctx context.Context, address string) error
	Close()
}

// Config is what a Follower is made of.
type Config struct {
	// Name is the name of this follower: unique in the fleet, and the same after a restart.
	Name string
	Kind distribution.Kind
	// Relays are the addresses of the relays, host:port.
	Relays []string
	// Hold is how long a read waits for an update, a minute at most; 0: DefaultHold.
	Hold time.Duration
	// Rand is used by Run alone; nil: one with a random seed.
	Rand *rand.Rand
	// Log is nil for none.
	Log *slog.Logger
	// Dial opens connections; nil: the dialer of httpapi.NewClient.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// withDefaults returns the configuration with defaults in place of what is not set, and bounds
// applied.
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

// Health is how a Follower stands with its relays.
type Health struct {
	// Relay is the relay that it reads from; empty before the first response.
	Relay string
	// SilentSince is since when no relay has answered; zero while one does.
	SilentSince time.Time
	// LastResponse is when the last response arrived; zero: none has.
	LastResponse time.Time
	// SourceAge is how long before LastAnswer the relay had last heard from the source.
	SourceAge time.Duration
	// Disconnected says that the relay, or one above it, hears from no upstream.
	Disconnected bool
}

// Stats count since the start.
type Stats struct {
	BytesIn, BytesOut        int64 // on all connections
	MessagesIn, MessagesOut  int64 // responses and requests
	Updates, SnapshotUpdates int64 // applied; of these, snapshots
	Rejected                 int64 // updates that subscribers rejected
	Sessions                 int64 // opened, each with all positions
	Switches                 int64 // from one relay to another
}
