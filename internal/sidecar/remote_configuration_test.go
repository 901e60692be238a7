package sidecar

import (
	"encoding/json"
	"errors"
	"fernlanding/internal/config"
	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/node/nodetest"
	"fernlanding/internal/standin"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// remoteFile is an application's file that relays bring under the name "shop", with a service for each backend.
func remoteFile(relay, state string, backends ...*standin.Backend) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version = 2\nname = \"test\"\nlisteners = [{ address = \"127.0.0.1:0\" }]\nprocess = { sockets = 200, memory_mb = 64%s }\n", state)
	for i := range backends {
		b.WriteString(to(fmt.Sprintf("s%d", i)))
	}
	fmt.Fprintf(&b, "[distribution]\nrelays = [%q]\nname = \"sidecar\"\nconfiguration = \"shop\"\n", relay)
	for i, at := range backends {
		fmt.Fprintf(&b, "[services.s%d]\n%s\n[services.s%d.classes]\n%s\n", i, atAddress(at), i, safeClass)
	}
	return b.String()
}

func atAddress(b *standin.Backend) string { return at(b.Addr()) }

func decodeFile(t *testing.T, text string) *config.App {
	t.Helper()
	app, err := config.Decode("file", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return app
}

// publish writes a file to the source, by its fragments.
func publish(t *testing.T, source *nodetest.Node, text string) distribution.Version {
	t.Helper()
	put := &distribution.PutRequest{Resource: ConfigurationResource("shop"), Replace: true}
	for key, fragment := range config.Fragments([]byte(text)) {
		value, err := json.Marshal(string(fragment))
		if err != nil {
			t.Fatal(err)
		}
		put.Items = append(put.Items, distribution.Item{Key: key, Value: value})
	}
	version, err := source.Put(put)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// awaitConfiguration waits until a relay has it that the one sidecar has a version in force, or has refused one.
func awaitConfiguration(t *testing.T, relay *nodetest.Node, inForce, refused distribution.Version) (reason string) {
	t.Helper()
	waitUntil(t, func() bool {
		status := relay.Status(ConfigurationResource("shop"))
		if !slices.Contains(status.Counts, distribution.VersionCount{Version: inForce, Proxies: 1}) {
			return false
		}
		if refused.IsZero() {
			return len(status.Rejections) == 0
		}
		if len(status.Rejections) != 1 || status.Rejections[0].Version != refused {
			return false
		}
		reason = status.Rejections[0].Reason
		return true
	})
	return reason
}

// A configuration that relays bring takes the place of the file's; one that can't be put in force is refused with its
// reason and changes nothing; taking it back is one more change, and only what has changed is sent.
func TestConfigurationByRelays(t *testing.T) {
	t.Parallel()
	source := nodetest.Source(t)
	relay := nodetest.Relay(t, "relay", "127.0.0.1:0", source.Address)
	a, b := backend(t, standin.Echo), backend(t, standin.Echo)
	file := remoteFile(relay.Address, "", a)
	p := start(t, decodeFile(t, file))
	asks(t, p, "/s0", 200)
	asks(t, p, "/s1", 404)

	two := remoteFile(relay.Address, "", a, b)
	second := publish(t, source, two)
	awaitConfiguration(t, relay, second, distribution.Version{})
	asks(t, p, "/s1", 200)
	whole := p.follower().Stats().FullUpdates

	for what, broken := range map[string]string{
		"field":        strings.Replace(two, "[services.s1.classes]", "[services.s1.clases]", 1),
		"distribution": strings.Replace(two, relay.Address, "127.0.0.1:1", 1),
		"listeners":    strings.Replace(two, "127.0.0.1:0", "127.0.0.1:1", 1),
		"process":      strings.Replace(two, "sockets = 200", "sockets = 201", 1),
	} {
		refused := publish(t, source, broken)
		if reason := awaitConfiguration(t, relay, second, refused); reason == "" || strings.Contains(reason, "\n") {
			t.Errorf("%s: refused because of %q, want a line", what, reason)
		}
		asks(t, p, "/s1", 200)
	}

	back := publish(t, source, file)
	awaitConfiguration(t, relay, back, distribution.Version{})
	asks(t, p, "/s0", 200)
	asks(t, p, "/s1", 404)
	if s := p.follower().Stats(); s.FullUpdates != whole || s.Sessions != 1 {
		t.Errorf("%d whole updates more and %d sessions, want 0 and 1", s.FullUpdates-whole, s.Sessions)
	}
}

// Once relays have brought a configuration its file is not taken, unless it says otherwise of relays.
func TestFileBesideConfigurationByRelays(t *testing.T) {
	t.Parallel()
	source := nodetest.Source(t)
	relay := nodetest.Relay(t, "relay", "127.0.0.1:0", source.Address)
	a, b := backend(t, standin.Echo), backend(t, standin.Echo)
	one, two := remoteFile(relay.Address, "", a), remoteFile(relay.Address, "", a, b)
	p := start(t, decodeFile(t, one))
	awaitConfiguration(t, relay, distribution.Version{}, distribution.Version{})
	reloads(t, p, decodeFile(t, two)) // nothing has come yet
	asks(t, p, "/s1", 200)

	version := publish(t, source, one)
	awaitConfiguration(t, relay, version, distribution.Version{})
	asks(t, p, "/s1", 404)
	if err := p.Reload(decodeFile(t, two)); !errors.Is(err, errRemote) {
		t.Errorf("the file was taken beside a configuration by relays: %v", err)
	}
	asks(t, p, "/s1", 404)
	reloads(t, p, decodeFile(t, strings.Replace(two, "configuration = \"shop\"\n", "", 1)))
	asks(t, p, "/s1", 200)
}

// A process that starts anew begins with the configuration that was in force, not with the older one of its file, and reads
// nothing whole. A kept one that makes no sense is passed over.
func TestKeptConfiguration(t *testing.T) {
	t.Parallel()
	source := nodetest.Source(t)
	relay := nodetest.Relay(t, "relay", "127.0.0.1:0", source.Address)
	a, b := backend(t, standin.Echo), backend(t, standin.Echo)
	dir := t.TempDir()
	state := fmt.Sprintf(", state_dir = %q", dir)
	file := decodeFile(t, remoteFile(relay.Address, state, a))
	earlier := start(t, file)
	version := publish(t, source, remoteFile(relay.Address, state, a, b))
	awaitConfiguration(t, relay, version, distribution.Version{})
	earlier.stop()
	wait(t, "end of the earlier one", earlier.done)

	p := start(t, file)
	asks(t, p, "/s1", 200)
	awaitConfiguration(t, relay, version, distribution.Version{})
	if s := p.follower().Stats(); s.Updates != 0 {
		t.Errorf("%d updates, want none", s.Updates)
	}
	p.stop()
	wait(t, "end of the next one", p.done)

	if err := os.WriteFile(configurationFile(dir), []byte(`{"name":"shop","in_force":"1.`), 0o600); err != nil {
		t.Fatal(err)
	}
	relay.Kill()
	p = start(t, file)
	asks(t, p, "/s0", 200)
	asks(t, p, "/s1", 404)
}

// A reload that names other relays ends a follower that waits to put a configuration in force: neither waits for the other.
func TestReloadCrossesConfigurationByRelays(t *testing.T) {
	t.Parallel()
	source := nodetest.Source(t)
	first := nodetest.Relay(t, "first", "127.0.0.1:0", source.Address)
	second := nodetest.Relay(t, "second", "127.0.0.1:0", source.Address)
	a, b := backend(t, standin.Echo), backend(t, standin.Echo)
	p := start(t, decodeFile(t, remoteFile(first.Address, "", a)))
	version := publish(t, source, remoteFile(first.Address, "", a, b))
	awaitConfiguration(t, first, version, distribution.Version{})

	p.reloading <- struct{}{} // a reload is under way
	before := p.follower().Stats().MessagesIn
	late := publish(t, source, remoteFile(first.Address, "", a))
	waitUntil(t, func() bool { // the follower has it, and waits
		u := first.Resource(ConfigurationResource("shop"))
		return u != nil && u.Version == late && p.follower().Stats().MessagesIn > before
	})
	reloaded := make(chan error, 1)
	go func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		reloaded <- p.take(decodeFile(t, remoteFile(second.Address, "", a, b)))
	}()
	select {
	case err := <-reloaded:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the reload and the follower wait for each other")
	}
	<-p.reloading
	asks(t, p, "/s1", 200)
}

// A follower goes by the application's name where it is given none. A configuration that changes it can't take the place of
// the follower that brings it, and is refused; it would wait for itself.
func TestConfigurationByRelaysKeepsItsFollower(t *testing.T) {
	t.Parallel()
	source := nodetest.Source(t)
	relay := nodetest.Relay(t, "relay", "127.0.0.1:0", source.Address)
	a, b := backend(t, standin.Echo), backend(t, standin.Echo)
	unnamed := func(text string) string { return strings.Replace(text, "name = \"sidecar\"\n", "", 1) }
	p := start(t, decodeFile(t, unnamed(remoteFile(relay.Address, "", a))))
	first := publish(t, source, unnamed(remoteFile(relay.Address, "", a)))
	awaitConfiguration(t, relay, first, distribution.Version{})

	renamed := strings.Replace(unnamed(remoteFile(relay.Address, "", a, b)), "name = \"test\"", "name = \"other\"", 1)
	refused := publish(t, source, renamed)
	if reason := awaitConfiguration(t, relay, first, refused); !strings.Contains(reason, "distribution") {
		t.Errorf("refused because of %q", reason)
	}
	asks(t, p, "/s1", 404)
	next := publish(t, source, unnamed(remoteFile(relay.Address, "", a, b)))
	awaitConfiguration(t, relay, next, distribution.Version{})
	asks(t, p, "/s1", 200)
}
