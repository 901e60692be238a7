package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/node/nodetest"
	"fernlanding/internal/standin"
)

// remoteConfigurationText returns an application's configuration with one service for each backend.
// It follows the remote configuration "shop" from a relay. state is the text of the state
// directory.
func remoteConfigurationText(relay, state string, backends ...*standin.Backend) string {
	var b strings.Builder
	b.WriteString("version = 2\nname = \"test\"\nlisteners = [{ address = \"127.0.0.1:0\" }]\n")
	fmt.Fprintf(&b, "process = { sockets = 200, memory_mb = 64%s }\n", state)
	for i := range backends {
		b.WriteString(routeTo(fmt.Sprintf("s%d", i)))
	}
	fmt.Fprintf(&b, "[distribution]\nrelays = [%q]\nname = \"sidecar\"\nconfiguration = \"shop\"\n", relay)
	for i, backend := range backends {
		fmt.Fprintf(&b, "[services.s%d]\n%s\n", i, endpointsAt(backend.Addr()))
		fmt.Fprintf(&b, "[services.s%d.classes]\n%s\n", i, safeClass)
	}
	return b.String()
}

// mustDecode decodes a valid configuration.
func mustDecode(t *testing.T, text string) *config.App {
	t.Helper()
	app, err := config.Decode("file", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return app
}

// publish writes the fragments of a configuration to the source.
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

// waitForConfiguration waits until a relay reports that the sidecar has applied one version and has
// rejected another, and returns the reason. A zero rejected version means that there is no
// rejection.
func waitForConfiguration(t *testing.T, relay *nodetest.Node, applied, rejected distribution.Version) (reason string) {
	t.Helper()
	waitUntil(t, func() bool {
		status := relay.Status(ConfigurationResource("shop"))
		if !slices.Contains(status.Counts, distribution.VersionCount{Version: applied, Proxies: 1}) {
			return false
		}
		if rejected.IsZero() {
			return len(status.Rejections) == 0
		}
		if len(status.Rejections) != 1 || status.Rejections[0].Version != rejected {
			return false
		}
		reason = status.Rejections[0].Reason
		return true
	})
	return reason
}

// A configuration from relays replaces the configuration of the file. A configuration that can't be
// applied is rejected with a reason and changes nothing. Its revert is one more update, which
// carries only the changes.
func TestRemoteConfigurationIsApplied(t *testing.T) {
	t.Parallel()
	source := nodetest.StartSource(t)
	relay := nodetest.StartRelay(t, "relay", "127.0.0.1:0", source.Address)
	a, b := startBackend(t, standin.Echo), startBackend(t, standin.Echo)
	file := remoteConfigurationText(relay.Address, "", a)
	p := startSidecar(t, mustDecode(t, file))
	wantStatus(t, p, "/s0", 200)
	wantStatus(t, p, "/s1", 404)

	two := remoteConfigurationText(relay.Address, "", a, b)
	second := publish(t, source, two)
	waitForConfiguration(t, relay, second, distribution.Version{})
	wantStatus(t, p, "/s1", 200)
	snapshotUpdates := p.follower().Stats().SnapshotUpdates

	for part, broken := range map[string]string{
		"field":        strings.Replace(two, "[services.s1.classes]", "[services.s1.clases]", 1),
		"distribution": strings.Replace(two, relay.Address, "127.0.0.1:1", 1),
		"listeners":    strings.Replace(two, "127.0.0.1:0", "127.0.0.1:1", 1),
		"process":      strings.Replace(two, "sockets = 200", "sockets = 201", 1),
	} {
		rejected := publish(t, source, broken)
		if reason := waitForConfiguration(t, relay, second, rejected); reason == "" || strings.Contains(reason, "\n") {
			t.Errorf("%s: rejected with reason %q, want one line", part, reason)
		}
		wantStatus(t, p, "/s1", 200)
	}

	reverted := publish(t, source, file)
	waitForConfiguration(t, relay, reverted, distribution.Version{})
	wantStatus(t, p, "/s0", 200)
	wantStatus(t, p, "/s1", 404)
	if s := p.follower().Stats(); s.SnapshotUpdates != snapshotUpdates || s.Sessions != 1 {
		t.Errorf("%d more snapshots and %d sessions, want 0 and 1", s.SnapshotUpdates-snapshotUpdates, s.Sessions)
	}
}

// After a configuration from relays has been applied, a file is not applied unless its distribution
// part differs.
func TestFileDoesNotReplaceRemoteConfiguration(t *testing.T) {
	t.Parallel()
	source := nodetest.StartSource(t)
	relay := nodetest.StartRelay(t, "relay", "127.0.0.1:0", source.Address)
	a, b := startBackend(t, standin.Echo), startBackend(t, standin.Echo)
	one, two := remoteConfigurationText(relay.Address, "", a), remoteConfigurationText(relay.Address, "", a, b)
	p := startSidecar(t, mustDecode(t, one))
	waitForConfiguration(t, relay, distribution.Version{}, distribution.Version{})
	mustReload(t, p, mustDecode(t, two)) // no configuration has come from relays yet
	wantStatus(t, p, "/s1", 200)

	version := publish(t, source, one)
	waitForConfiguration(t, relay, version, distribution.Version{})
	wantStatus(t, p, "/s1", 404)
	if err := p.Reload(mustDecode(t, two)); !errors.Is(err, errRemoteConfiguration) {
		t.Errorf("reload of a file: got error %v, want %v", err, errRemoteConfiguration)
	}
	wantStatus(t, p, "/s1", 404)
	mustReload(t, p, mustDecode(t, strings.Replace(two, "configuration = \"shop\"\n", "", 1)))
	wantStatus(t, p, "/s1", 200)
}

// A process starts with the cached configuration instead of the older configuration of its file,
// and reads no update. An invalid cached configuration is ignored.
func TestCachedConfigurationIsRestored(t *testing.T) {
	t.Parallel()
	source := nodetest.StartSource(t)
	relay := nodetest.StartRelay(t, "relay", "127.0.0.1:0", source.Address)
	a, b := startBackend(t, standin.Echo), startBackend(t, standin.Echo)
	dir := t.TempDir()
	state := fmt.Sprintf(", state_dir = %q", dir)
	file := mustDecode(t, remoteConfigurationText(relay.Address, state, a))
	earlier := startSidecar(t, file)
	version := publish(t, source, remoteConfigurationText(relay.Address, state, a, b))
	waitForConfiguration(t, relay, version, distribution.Version{})
	earlier.stop()
	_ = receive(t, "end of the earlier sidecar", earlier.done)

	p := startSidecar(t, file)
	wantStatus(t, p, "/s1", 200)
	waitForConfiguration(t, relay, version, distribution.Version{})
	if s := p.follower().Stats(); s.Updates != 0 {
		t.Errorf("%d updates, want none", s.Updates)
	}
	p.stop()
	_ = receive(t, "end of the next sidecar", p.done)

	if err := os.WriteFile(configurationCachePath(dir), []byte(`{"name":"shop","in_force":"1.`), 0o600); err != nil {
		t.Fatal(err)
	}
	relay.Kill()
	p = startSidecar(t, file)
	wantStatus(t, p, "/s0", 200)
	wantStatus(t, p, "/s1", 404)
}

// A reload with other relays stops the follower while the follower waits to apply a configuration.
// The reload and the follower must not wait for each other.
func TestReloadDuringRemoteConfigurationDoesNotDeadlock(t *testing.T) {
	t.Parallel()
	source := nodetest.StartSource(t)
	first := nodetest.StartRelay(t, "first", "127.0.0.1:0", source.Address)
	second := nodetest.StartRelay(t, "second", "127.0.0.1:0", source.Address)
	a, b := startBackend(t, standin.Echo), startBackend(t, standin.Echo)
	p := startSidecar(t, mustDecode(t, remoteConfigurationText(first.Address, "", a)))
	version := publish(t, source, remoteConfigurationText(first.Address, "", a, b))
	waitForConfiguration(t, first, version, distribution.Version{})

	p.reloadSlot <- struct{}{} // another reload is in progress
	before := p.follower().Stats().MessagesIn
	late := publish(t, source, remoteConfigurationText(first.Address, "", a))
	waitUntil(t, func() bool { // the follower has received it and waits
		u := first.Resource(ConfigurationResource("shop"))
		return u != nil && u.Version == late && p.follower().Stats().MessagesIn > before
	})
	withOtherRelays := mustDecode(t, remoteConfigurationText(second.Address, "", a, b))
	reloaded := make(chan error, 1)
	go func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		reloaded <- p.replaceLocked(withOtherRelays)
	}()
	select {
	case err := <-reloaded:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("deadlock between the reload and the follower")
	}
	<-p.reloadSlot
	wantStatus(t, p, "/s1", 200)
}

// A follower without a configured name uses the application's name. A remote configuration that
// changes that name is rejected, since it would replace the follower that delivers it, and the
// follower would wait for its own end.
func TestRemoteConfigurationCannotRenameFollower(t *testing.T) {
	t.Parallel()
	source := nodetest.StartSource(t)
	relay := nodetest.StartRelay(t, "relay", "127.0.0.1:0", source.Address)
	a, b := startBackend(t, standin.Echo), startBackend(t, standin.Echo)
	unnamed := func(text string) string { return strings.Replace(text, "name = \"sidecar\"\n", "", 1) }
	p := startSidecar(t, mustDecode(t, unnamed(remoteConfigurationText(relay.Address, "", a))))
	first := publish(t, source, unnamed(remoteConfigurationText(relay.Address, "", a)))
	waitForConfiguration(t, relay, first, distribution.Version{})

	renamed := strings.Replace(
		unnamed(remoteConfigurationText(relay.Address, "", a, b)),
		"name = \"test\"", "name = \"other\"",
		1,
	)
	rejected := publish(t, source, renamed)
	if reason := waitForConfiguration(t, relay, first, rejected); !strings.Contains(reason, "distribution") {
		t.Errorf("rejected with reason %q, want a reason that names distribution", reason)
	}
	wantStatus(t, p, "/s1", 404)
	next := publish(t, source, unnamed(remoteConfigurationText(relay.Address, "", a, b)))
	waitForConfiguration(t, relay, next, distribution.Version{})
	wantStatus(t, p, "/s1", 200)
}
