package config

import (
	"fmt"
	"strconv"
	"strings"
)

// Newer tells whether version a of a program, major.minor, is newer than b.
func Newer(a, b string) (bool, error) {
	x, err := parts(a)
	if err != nil {
		return false, err
	}
	y, err := parts(b)
	return x[0] > y[0] || x[0] == y[0] && x[1] > y[1], err
}

func parts(v string) (n [2]uint64, err error) {
	major, minor, ok := strings.Cut(v, ".")
	if !ok {
		return n, fmt.Errorf("%q: major.minor expected", v)
	}
	if n[0], err = strconv.ParseUint(major, 10, 16); err == nil {
		n[1], err = strconv.ParseUint(minor, 10, 16)
	}
	return n, err
}
