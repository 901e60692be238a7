// Package statedir persists the resources of a source in a directory. The directory has a file with
// the snapshot of each resource, and a file with the epoch of the source's writes. Each write is
// atomic, and durable when the call returns.
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

// Names of the files in a directory. They must not change, because sources of other versions of the
// program read them.
const (
	epochFile      = "epoch"
	lockFile       = "lock"
	resourceSuffix = ".json"
)

const (
	maxEpochBytes    = 64      // size of the epoch file
	maxResourceBytes = 1 << 30 // size of the file of a resource
	fileMode         = 0o600
	dirMode          = 0o700
	nameHashBytes    = 16 // size of the hash of a resource's name in the name of its file
)

// Dir is the directory of a source. Only one process at a time can open the directory. The methods
// of a Dir are not safe for concurrent use.
type Dir struct {
	path  string
	lock  *os.File
	epoch uint64
}

// Open opens a directory, creating the directory if necessary, and begins an epoch after all
// earlier ones. The epoch is at least clock, the Unix time in seconds. Otherwise followers would
// ignore a source that has lost its directory or has an older copy, because the epoch would not be
// after the epochs that the followers have seen. Open returns an error if another process has the
// directory open, or if the directory can't be read or written.
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
		return nil, errors.Join(fmt.Errorf("state: %s: in use by another process: %w", path, err), lock.Close())
	}
	if err := d.beginEpoch(clock); err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	return d, nil
}

// beginEpoch determines the next epoch and writes the epoch file.
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
			return fmt.Errorf("state: %s: invalid epoch %.20q: not an unsigned integer", name, data)
		}
	}
	d.epoch = max(last+1, uint64(max(clock, 0)))
	text := strconv.FormatUint(d.epoch, 10) + "\n"
	if err := durable.WriteFile(name, []byte(text), fileMode, true); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	return nil
}

// Epoch returns the epoch of the writes of this process.
func (d *Dir) Epoch() uint64 { return d.epoch }

// Close releases the directory's lock, so that another process can open the directory.
func (d *Dir) Close() error { return d.lock.Close() }

// Save replaces the file of a resource with a snapshot of the resource.
func (d *Dir) Save(snapshot *distribution.Update) error {
	data, err := json.Marshal(snapshot)
	if err != nil {
		return err
	}
	return durable.WriteFile(d.resourceFile(snapshot.Resource), data, fileMode, true)
}

// resourceFile returns the path of the file of a resource. The file is named by a hash, because the
// name of a resource can be too long for a file name and can contain any character.
func (d *Dir) resourceFile(resource string) string {
	sum := sha256.Sum256([]byte(resource))
	return filepath.Join(d.path, hex.EncodeToString(sum[:nameHashBytes])+resourceSuffix)
}

// Load calls apply with the snapshot of each resource and stops at the first error.
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
		return fmt.Errorf("resource %q in the file of another resource", snapshot.Resource)
	}
	return apply(snapshot)
}

// Decode decodes and validates the content of the file of a resource.
func Decode(data []byte) (*distribution.Update, error) {
	u := new(distribution.Update)
	if err := json.Unmarshal(data, u); err != nil {
		return nil, err
	}
	if err := u.Validate(); err != nil {
		return nil, err
	}
	if !u.IsSnapshot() {
		return nil, fmt.Errorf("delta from version %v instead of a snapshot", u.From)
	}
	return u, nil
}
