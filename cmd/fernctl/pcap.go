package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"fernlanding/internal/pcap"
	"fernlanding/internal/pcap/bodies"
	"fernlanding/internal/pcap/flow"
	"fernlanding/internal/pcap/http"
	"fernlanding/internal/pcap/packet"

	"github.com/urfave/cli/v3"
)

// pcapCommand returns the command that reads captures.
func pcapCommand() *cli.Command {
	command := &cli.Command{Name: "pcap", Usage: "read captures as traffic", Commands: []*cli.Command{
		{
			Name: "info", Usage: "what a capture holds, and all that is wrong with it", ArgsUsage: "FILE",
			Flags: pcapFlags(
				&cli.IntFlag{Name: "faults", Value: 50, Usage: "print at most `N` faults; all are counted"}),
			Action: pcapInfo,
		},
		{
			Name: "requests", Usage: "the requests of a capture, a line each, with their answers", ArgsUsage: "FILE",
			Flags: pcapFlags(), Action: pcapRequests,
		},
		replayCommand(),
	}}
	for _, sub := range command.Commands {
		sub.OnUsageError = usageError
	}
	return command
}

// pcapFlags returns the flags that all commands that read a capture share, followed by the
// additional flags of one command.
func pcapFlags(additional ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		jsonFlag(),
		&cli.IntFlag{Name: "flows", Value: 1 << 16, Usage: "hold at most `N` open connections"},
		&cli.IntFlag{Name: "body-mb", Value: 64, Usage: "a body of more `MB` is a fault"},
		&cli.IntFlag{
			Name: "disk-mb", Value: 1024, Usage: "keep at most so many `MB` of large bodies in temporary files",
		},
	}, additional...)
}

// openCapture opens the file that a command names, and a store for the large bodies of the capture.
func openCapture(c *cli.Command) (*os.File, *bodies.Dir, error) {
	if c.Args().Len() != 1 {
		return nil, nil, fmt.Errorf("pcap %s: got %d arguments, want one FILE", c.Name, c.Args().Len())
	}
	for _, name := range []string{"flows", "body-mb", "disk-mb"} {
		if n := c.Int(name); n < 1 || n > 1<<20 {
			return nil, nil, fmt.Errorf("pcap %s: invalid -%s %d: must be between 1 and %d", c.Name, name, n, 1<<20)
		}
	}
	file, err := os.Open(c.Args().First())
	if err != nil {
		return nil, nil, fmt.Errorf("pcap %s: %w", c.Name, err)
	}
	store, err := bodies.New("", int64(c.Int("disk-mb"))<<20)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("pcap %s: %w", c.Name, err), file.Close())
	}
	return file, store, nil
}

// readOpenCapture reads a capture into a sink. The collector is the sink itself or embedded in the
// sink.
func readOpenCapture(
	ctx context.Context, c *cli.Command, file io.Reader, store *bodies.Dir, sink http.Sink, collected *collector,
) (*pcap.Summary, error) {
	opts := pcap.Options{
		Flow:   flow.Limits{Flows: c.Int("flows")},
		HTTP:   http.Limits{Body: int64(c.Int("body-mb")) << 20},
		Bodies: store,
		OnMalformed: func(err *packet.DecodeError) {
			collected.reportFault(nil, 0, faultLine{Kind: "bad-packet", Reason: err.Err.Error(), Packet: err.Packet})
		},
	}
	summary, err := pcap.Read(ctx, file, opts, sink)
	if err = errors.Join(err, collected.err); err != nil {
		return nil, fmt.Errorf("pcap %s: %s: %w", c.Name, c.Args().First(), err)
	}
	if !summary.Complete() {
		collected.reportFault(nil, 0, faultLine{
			Kind: "broken-file", Reason: *summary.ReadFailure, Packet: summary.Packets + 1,
		})
	}
	if n := summary.DiscardedFragments; n > 0 {
		collected.faultCounts["fragments-given-up"] += n
	}
	return summary, summary.Check()
}

// readCapture reads the file that a command names.
func readCapture(ctx context.Context, c *cli.Command, collected *collector) (summary *pcap.Summary, err error) {
	file, store, err := openCapture(c)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close(), store.Close()) }()
	return readOpenCapture(ctx, c, file, store, collected, collected)
}

// writeReport writes text of a command. Write errors are ignored: a closed standard output is not a
// fault of the capture and does not change the exit code.
func writeReport(out io.Writer, text string) { _, _ = io.WriteString(out, text) }
