package config

import (
	"fmt"
	"strconv"
	"strings"
)

// programVersion is the version of a program.
type programVersion struct{ major, minor uint64 }

// IsNewer reports whether version a of a program, major.minor, is newer than b.
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

func parseProgramVersion(text string) (programVersion, error) {
	major, minor, ok := strings.Cut(text, ".")
	if !ok {
		return programVersion{}, fmt.Errorf("%q: major.minor expected", text)
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
