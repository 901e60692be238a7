// Package statedir keeps a source's resources in a directory: a file with a snapshot of each
// resource, and one with the epoch of the source's writes. A write is atomic, and durable before it
// returns.
package statedir

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"fernlanding/internal/distribution"
	"fernlanding/internal/durable"

	"golang.org/x/sys/unix"
)

// The files of a directory, which stay as they are: sources of other versions read them.
const (
	epochFile      = "epoch"
	lockFile       = "lock"
	resourceSuffix = ".json"
)

const (
	maxEpochBytes    = 64      // of the epoch's file
	maxResourceBytes = 1 << 30 // of a resource's file
	fileMode         = 0o600
	dirMode          = 0o700
	nameHashBytes    = 16 // of a resource's name in its file's name
)

// Dir is a source's directory. One process at a time has it open. Its methods are not safe for
// concurrent use.
type Dir struct {
	path  string
	lock  *os.File
	epoch uint64
}

// Open opens a directory, which it creates if necessary, and begins an epoch after all earlier
// ones. The epoch is no less than clock, the Unix time in seconds: followers would ignore a source
// that has lost its directory, or has an older copy of it, if its epoch were not after the ones
// that they have seen. Errors: another process has the directory open, or it can't be read or
// written.
func Open(path string, clock int64) (*Dir, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	d := &Dir{path: path, lock: lock}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("state: %s: another process has it: %w", path, err), lock.Close())
	}
	if err := d.beginEpoch(clock); err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	return d, nil
}

// beginEpoch writes the next epoch.
func (d *Dir) beginEpoch(clock int64) error {
	name := filepath.Join(d.path, epochFile)
	durable.RemoveStaged(name)
	data, err := durable.ReadFile(name, maxEpochBytes)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	var last uint64
	if data != nil { // the file exists
		last, err = strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64)
		if err != nil {
			return fmt.Errorf("state: %s: %.20q found, a whole number expected", name, data)
		}
	}
	d.epoch = max(last+1, uint64(max(clock, 0)))
	text := strconv.FormatUint(d.epoch, 10) + "\n"
	if err := durable.WriteFile(name, []byte(text), fileMode, true); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	return nil
}

// Epoch returns the epoch of this process's writes.
func (d *Dir) Epoch() uint64 { return d.epoch }

// Close lets another process open the directory.
func (d *Dir) Close() error { return d.lock.Close() }

// Save replaces the file of a resource by a snapshot of it.
func (d *Dir) Save(snapshot *distribution.Update) error {
	data, err := json.Marshal(snapshot)
	if err != nil {
		return err
	}
	return durable.WriteFile(d.resourceFile(snapshot.Resource), data, fileMode, true)
}

// resourceFile returns the path of a resource's file. It is named by a hash, because a resource's
// name can be too long for a file's, and can have any character.
func (d *Dir) resourceFile(resource string) string {
	sum := sha256.Sum256([]byte(resource))
	return filepath.Join(d.path, hex.EncodeToString(sum[:nameHashBytes])+resourceSuffix)
}

// Load calls apply with the snapshot of each resource, and ends at the first error.
func (d *Dir) Load(apply func(*distribution.Update) error) error {
	names, err := filepath.Glob(filepath.Join(d.path, "*"+resourceSuffix))
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	for _, name := range names {
		durable.RemoveStaged(name)
		if err := d.loadFile(name, apply); err != nil {
			return fmt.Errorf("state: %s: %w", name, err)
		}
	}
	return nil
}

// loadFile calls apply with the snapshot in a file.
func (d *Dir) loadFile(name string, apply func(*distribution.Update) error) error {
	data, err := durable.ReadFile(name, maxResourceBytes)
	if err != nil {
		return err
	}
	snapshot, err := Decode(data)
	if err != nil {
		return err
	}
	if d.resourceFile(snapshot.Resource) != name {
		return fmt.Errorf("resource %q found, another one's file", snapshot.Resource)
	}
	return apply(snapshot)
}

// Decode decodes and validates the content of a resource's file.
func Decode(data []byte) (*distribution.Update, error) {
	u := new(distribution.Update)
	if err := json.Unmarshal(data, u); err != nil {
		return nil, err
	}
	if err := u.Validate(); err != nil {
		return nil, err
	}
	if !u.IsSnapshot() {
		return nil, fmt.Errorf("from: %v found, a whole resource expected", u.From)
	}
	return u, nil
}
