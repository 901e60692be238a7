package distribution

import (
	"encoding/json"
	"strings"
	"testing"
)

// checkRoundTrip checks that a message that is valid after decoding is still valid after it has
// been encoded and decoded again.
func checkRoundTrip[M any, P interface {
	*M
	Validate() error
}](t *testing.T, data []byte) {
	t.Helper()
	message := P(new(M))
	if json.Unmarshal(data, message) != nil {
		return
	}
	if err := message.Validate(); err != nil {
		if strings.Contains(err.Error(), "\n") {
			t.Errorf("error has more than one line: %q", err)
		}
		return
	}
	text, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	again := P(new(M))
	if err := json.Unmarshal(text, again); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	if err := again.Validate(); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
}

// A valid FollowRequest stays valid over a round trip.
func FuzzFollowRequest(f *testing.F) {
	f.Add([]byte(`{"follower":"p","kind":"proxy","session":"s","hold_ms":4000,"positions":[{"resource":"r",` +
		`"in_force":"1.2","refused":"1.3","reason":"x"}],"unfollowed":["q"]}`))
	f.Add([]byte(`{"follower":"p","kind":"relay","hold_ms":0,"statuses":[{"resource":"r","counts":[{` +
		`"version":"1.2","proxies":3}],"behind":[{"follower":"a"}],"refusals":[{"follower":"b",` +
		`"version":"1.2","reason":"c"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) { checkRoundTrip[FollowRequest](t, data) })
}

// A valid FollowResponse stays valid over a round trip.
func FuzzFollowResponse(f *testing.F) {
	f.Add([]byte(`{"session":"s","source_age_ms":3,"updates":[{"resource":"r","from":"1.1","version":"1.2",` +
		`"items":[{"key":"a","deleted":true,"urgent":true},{"key":"b","value":{"x":1}}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) { checkRoundTrip[FollowResponse](t, data) })
}

// A valid PutRequest stays valid over a round trip.
func FuzzPutRequest(f *testing.F) {
	f.Add([]byte(`{"resource":"r","expected":"0.0","replace":true,"items":[{"key":"a","value":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) { checkRoundTrip[PutRequest](t, data) })
}

// A valid ResourceStatus stays valid over a round trip.
func FuzzResourceStatus(f *testing.F) {
	f.Add([]byte(`{"resource":"r","counts":[{"version":"1.2","proxies":3},{"version":"0.0","proxies":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) { checkRoundTrip[ResourceStatus](t, data) })
}

// A message that exceeds a limit or is inconsistent is rejected with an error of one line, which
// names the field, the value found and the value expected.
func TestValidateRejectsInvalidMessages(t *testing.T) {
	long := strings.Repeat("x", MaxNameBytes+1)
	value := json.RawMessage("1")
	for _, test := range []struct {
		want    string
		message interface{ Validate() error }
	}{
		{"follower: name of 0 bytes found, 1 to 128 expected", &FollowRequest{Kind: KindProxy}},
		{"kind: \"\" found", &FollowRequest{Follower: "p"}},
		{"hold_ms: -1 found, 0 to 60000 expected", &FollowRequest{Follower: "p", Kind: KindProxy, HoldMs: -1}},
		{
			"session: 65 bytes found, 64 at most",
			&FollowRequest{Follower: "p", Kind: KindProxy, Session: strings.Repeat("s", 65)},
		},
		{
			"positions: 8193 found, 8192 at most expected",
			&FollowRequest{Follower: "p", Kind: KindProxy, Positions: make([]Position, MaxResources+1)},
		},
		{
			"positions[0]: resource: name of 129 bytes found",
			&FollowRequest{Follower: "p", Kind: KindProxy, Positions: []Position{{Resource: long}}},
		},
		{
			"positions[0]: reason: 257 bytes found",
			&FollowRequest{
				Follower: "p", Kind: KindProxy,
				Positions: []Position{{Resource: "r", Reason: long + long[:128]}},
			},
		},
		{
			"positions[0]: refused: version 1.1 found, one after that in force (1.1)",
			&FollowRequest{
				Follower: "p", Kind: KindProxy,
				Positions: []Position{{Resource: "r", InForce: at(1, 1), Rejected: at(1, 1)}},
			},
		},
		{"leave: found without a session", &FollowRequest{Follower: "p", Kind: KindProxy, Leave: true}},
		{
			"unfollowed[0]: resource: control character",
			&FollowRequest{Follower: "p", Kind: KindProxy, Unfollowed: []string{"a\nb"}},
		},
		{
			"statuses: 1 found of a proxy, none expected",
			&FollowRequest{Follower: "p", Kind: KindProxy, Statuses: []ResourceStatus{{Resource: "r"}}},
		},
		{
			"statuses[0]: counts[1]: version 1.2 found, one before 1.1 expected",
			&FollowRequest{
				Follower: "p", Kind: KindRelay,
				Statuses: []ResourceStatus{{Resource: "r", Counts: []VersionCount{{at(1, 1), 1}, {at(1, 2), 1}}}},
			},
		},
		{
			"statuses[0]: behind: 21 found, 20 at most expected",
			&FollowRequest{
				Follower: "p", Kind: KindRelay,
				Statuses: []ResourceStatus{{Resource: "r", Laggards: make([]Laggard, MaxLaggards+1)}},
			},
		},
		{"session: 0 bytes found", &FollowResponse{}},
		{"source_age_ms: -1 found", &FollowResponse{Session: "s", SourceAgeMs: -1}},
		{
			"updates[0]: version: 1.1 found, one after 1.1 expected",
			&FollowResponse{Session: "s", Updates: []Update{{Resource: "r", From: at(1, 1), Version: at(1, 1)}}},
		},
		{
			"updates[0]: items[0]: key \"a\": deleted found in a whole resource",
			&FollowResponse{
				Session: "s",
				Updates: []Update{{Resource: "r", Version: at(1, 1), Items: []Item{newDeletion("a")}}},
			},
		},
		{
			"items[1]: key \"a\" found a second time",
			&PutRequest{Resource: "r", Items: []Item{{Key: "a", Value: value}, {Key: "a", Value: value}}},
		},
		{
			"items[0]: key \"a\": deleted found with a value",
			&PutRequest{Resource: "r", Items: []Item{{Key: "a", Value: value, Deleted: true}}},
		},
		{
			"items[0]: key \"a\": value: no JSON found",
			&PutRequest{Resource: "r", Items: []Item{{Key: "a", Value: json.RawMessage("{")}}},
		},
		{
			"items[0]: key \"a\": value of 1048577 bytes found",
			&PutRequest{Resource: "r", Items: []Item{{Key: "a", Value: make(json.RawMessage, MaxItemBytes+1)}}},
		},
		{"items: 20001 found, 20000 at most expected", &PutRequest{Resource: "r", Items: make([]Item, MaxItems+1)}},
		{"resource: \"\\xff\" found, UTF-8 expected", &PutRequest{Resource: "\xff"}},
		{
			"counts[0]: -1 proxies found, 0 or more expected",
			&ResourceStatus{Resource: "r", Counts: []VersionCount{{at(1, 1), -1}}},
		},
		{
			"counts: 1025 found, 1024 at most expected",
			&ResourceStatus{Resource: "r", Counts: make([]VersionCount, MaxCounts+1)},
		},
		{
			"refusals[0]: reason: 257 bytes found, 256 at most expected",
			&ResourceStatus{
				Resource:   "r",
				Rejections: []Rejection{{Follower: "p", Reason: strings.Repeat("x", MaxReasonBytes+1)}},
			},
		},
	} {
		err := test.message.Validate()
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got error %v, want one line with %q", err, test.want)
		}
	}
}

// ParseVersion parses the form that String returns and rejects other texts.
func TestVersionText(t *testing.T) {
	for _, bad := range []string{"", "1", "1.", ".1", "1.2.3", "-1.2", "x.1"} {
		if v, err := ParseVersion(bad); err == nil {
			t.Errorf("%q: got version %v, want an error", bad, v)
		}
	}
	if v, err := ParseVersion("7.18446744073709551615"); err != nil || v.String() != "7.18446744073709551615" {
		t.Errorf("got %v, %v", v, err)
	}
}
