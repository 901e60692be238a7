package config

import (
	"fmt"
	"strconv"
	"strings"
)

// programVersion is the version of a program.
type programVersion struct{ major, minor uint64 }

// IsNewer reports whether program version a is newer than b. Versions have the form major.minor.
func IsNewer(a, b string) (bool, error) {
	x, err := parseProgramVersion(a)
	if err != nil {
		return false, err
	}
	y, err := parseProgramVersion(b)
	if err != nil {
		return false, err
	}
	return x.major > y.major || x.major == y.major && x.minor > y.minor, nil
}

// parseProgramVersion parses a version of the form major.minor.
func parseProgramVersion(text string) (programVersion, error) {
	major, minor, ok := strings.Cut(text, ".")
	if !ok {
		return programVersion{}, fmt.Errorf("invalid program version %q: must be major.minor", text)
	}
	x, err := strconv.ParseUint(major, 10, 16)
	if err != nil {
		return programVersion{}, err
	}
	y, err := strconv.ParseUint(minor, 10, 16)
	if err != nil {
		return programVersion{}, err
	}
	return programVersion{major: x, minor: y}, nil
}
