package distribution

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Version orders the states of a resource by epoch, then by revision. A source that may have lost
// writes begins a new epoch, whose versions are all later than those of earlier epochs. The zero
// Version means that there is no state yet.
type Version struct {
	Epoch    uint64
	Revision uint64
}

// Compare returns a negative number if v is earlier than other, a positive one if it is later, and
// 0 if they are equal.
func (v Version) Compare(other Version) int {
	if c := cmp.Compare(v.Epoch, other.Epoch); c != 0 {
		return c
	}
	return cmp.Compare(v.Revision, other.Revision)
}

// After reports whether v is later than other.
func (v Version) After(other Version) bool { return v.Compare(other) > 0 }

// IsZero reports whether v is the zero Version.
func (v Version) IsZero() bool { return v == Version{} }

// String returns the version as "epoch.revision".
func (v Version) String() string {
	return strconv.FormatUint(v.Epoch, 10) + "." + strconv.FormatUint(v.Revision, 10)
}

// ParseVersion parses the form that [Version.String] returns.
func ParseVersion(text string) (Version, error) {
	epochText, revisionText, found := strings.Cut(text, ".")
	if !found {
		return Version{}, fmt.Errorf("version %.64q: \"epoch.revision\" expected", text)
	}
	epoch, err := strconv.ParseUint(epochText, 10, 64)
	if err != nil {
		return Version{}, fmt.Errorf("version %.64q: a whole number before the point expected", text)
	}
	revision, err := strconv.ParseUint(revisionText, 10, 64)
	if err != nil {
		return Version{}, fmt.Errorf("version %.64q: a whole number behind the point expected", text)
	}
	return Version{Epoch: epoch, Revision: revision}, nil
}

// MarshalText implements [encoding.TextMarshaler].
func (v Version) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler]. It sets v to the zero Version on error.
func (v *Version) UnmarshalText(text []byte) error {
	parsed, err := ParseVersion(string(text))
	*v = parsed
	return err
}
