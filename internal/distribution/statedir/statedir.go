// Package statedir keeps a source's resources in a folder, each write whole and durable before it is in force, and the
// epoch of the source's writes.
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

const (
	epochFile   = "epoch"
	lockFile    = "lock"
	suffix      = ".json"
	maxEpoch    = 64      // bytes of the file
	maxResource = 1 << 30 // bytes of a file
	fileMode    = 0o600
	folderMode  = 0o700
)

// Dir is a source's folder. One process at a time has it.
type Dir struct {
	path  string
	lock  *os.File
	epoch uint64
}

// Open takes a folder, which is made where it is not there, and begins an epoch that is later than all before. Clock is
// Unix time in seconds: an epoch is no earlier than that, so that a source which has lost its folder, or got an older one
// back, is believed again.
func Open(path string, clock int64) (*Dir, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
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
	if err := d.begin(clock); err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	return d, nil
}

// begin writes the next epoch.
func (d *Dir) begin(clock int64) error {
	name := filepath.Join(d.path, epochFile)
	durable.RemoveStaged(name)
	data, err := durable.ReadFile(name, maxEpoch)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	var last uint64
	if data != nil {
		if last, err = strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64); err != nil {
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

// Epoch is that of the writes of this process.
func (d *Dir) Epoch() uint64 { return d.epoch }

// Close lets another process have the folder.
func (d *Dir) Close() error { return d.lock.Close() }

// Save writes a whole resource in place of what was kept of it.
func (d *Dir) Save(u *distribution.Update) error {
	data, err := json.Marshal(u)
	if err != nil {
		return err
	}
	return durable.WriteFile(d.file(u.Resource), data, fileMode, true)
}

// file is where a resource is kept; its name can be too long for a file's.
func (d *Dir) file(resource string) string {
	sum := sha256.Sum256([]byte(resource))
	return filepath.Join(d.path, hex.EncodeToString(sum[:16])+suffix)
}

// Load hands each resource that is kept to f.
func (d *Dir) Load(f func(*distribution.Update) error) error {
	names, err := filepath.Glob(filepath.Join(d.path, "*"+suffix))
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	for _, name := range names {
		durable.RemoveStaged(name)
		if err := d.load(name, f); err != nil {
			return fmt.Errorf("state: %s: %w", name, err)
		}
	}
	return nil
}

func (d *Dir) load(name string, f func(*distribution.Update) error) error {
	data, err := durable.ReadFile(name, maxResource)
	if err != nil {
		return err
	}
	u, err := Decode(data)
	if err != nil {
		return err
	}
	if d.file(u.Resource) != name {
		return fmt.Errorf("resource %q found, another one's file", u.Resource)
	}
	return f(u)
}

// Decode reads what Keep writes.
func Decode(data []byte) (*distribution.Update, error) {
	u := new(distribution.Update)
	if err := json.Unmarshal(data, u); err != nil {
		return nil, err
	}
	if err := u.Validate(); err != nil {
		return nil, err
	}
	if !u.Full() {
		return nil, fmt.Errorf("from: %v found, a whole resource expected", u.From)
	}
	return u, nil
}
