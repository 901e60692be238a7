package route

import (
	"strings"
	"testing"
)

// invalid marks an expected error in the tables below.
const invalid = "!"

func TestCanonicalPath(t *testing.T) {
	for _, c := range []struct{ raw, want string }{
		{"/", "/"},
		{"/a/b", "/a/b"},
		{"/a/b/", "/a/b/"},
		{"//", "/"},
		{"/a//b", "/a/b"},
		{"/a//", "/a/"},
		{"/./a", "/a"},
		{"/a/.", "/a/"},
		{"/a/..", "/"},
		{"/a/../b", "/b"},
		{"/a/b/../..", "/"},
		{"/a/b/..", "/a/"},
		{"/%61", "/a"},
		{"/%7euser", "/~user"},
		{"/a%2fb", "/a%2Fb"},
		{"/a/%2e%2E/b", "/b"},
		{"/a/.%2e/b", "/b"},
		{"/%41%3a", "/A%3A"},
		{"/.well-known/x", "/.well-known/x"},
		{"/a/...", "/a/..."},
		{"/a%252Fb", "/a%252Fb"},
		{"", invalid},
		{"a", invalid},
		{"*", invalid},
		{"/..", invalid},
		{"/a/../../b", invalid},
		{"/%2e%2e/a", invalid},
		{"/a%", invalid},
		{"/a%4", invalid},
		{"/a%zz", invalid},
		{"/a%00", invalid},
		{"/a%0d%0a", invalid},
		{"/a b", invalid},
		{"/a\\b", invalid},
		{"/a\x00", invalid},
		{"/\xc3\xa9", invalid},
		{"/" + strings.Repeat("a", MaxPathBytes), invalid},
		{strings.Repeat("/a", MaxPathSegments+1), invalid},
	} {
		got, err := CanonicalPath(c.raw)
		if (err != nil) != (c.want == invalid) || err == nil && got != c.want {
			t.Errorf("path %.40q: got %q, %v, want %q", c.raw, got, err, c.want)
		}
	}
}

func TestCanonicalHost(t *testing.T) {
	for _, c := range []struct{ raw, want string }{
		{"", ""},
		{"a.b", "a.b"},
		{"A.B", "a.b"},
		{"a.b.", "a.b"},
		{"a.b:80", "a.b"},
		{"a.b.:80", "a.b"},
		{"a:", "a"},
		{"[::1]", "[::1]"},
		{"[::1]:443", "[::1]"},
		{"[FE80::1]", "[fe80::1]"},
		{"127.0.0.1:9", "127.0.0.1"},
		{"x_y", "x_y"},
		{".", invalid},
		{"..", invalid},
		{"a..b", invalid},
		{".a", invalid},
		{"a.b..", invalid},
		{":80", invalid},
		{"a:b", invalid},
		{"a:1:2", invalid},
		{"a:123456", invalid},
		{"[::1", invalid},
		{"[::1]x", invalid},
		{"[x]", invalid},
		{"a/b", invalid},
		{"u@h", invalid},
		{"a%2eb", invalid},
		{"a b", invalid},
		{"a\x00", invalid},
		{strings.Repeat("a", MaxHostBytes+1), invalid},
	} {
		got, err := CanonicalHost(c.raw)
		if (err != nil) != (c.want == invalid) || err == nil && got != c.want {
			t.Errorf("host %.40q: got %q, %v, want %q", c.raw, got, err, c.want)
		}
	}
}
