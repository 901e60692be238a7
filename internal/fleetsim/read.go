package fleetsim

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// MaxFile is the most bytes that a file of a day's description may have.
const MaxFile = 1 << 20

// File is a text and its name.
type File struct {
	Name string
	Data []byte
}

// Read reads a day's description. Files after the first replace what they name, tables of one name
// as a whole: one holds the fleet and another a fault. An error is one line: the file, the place or
// the field, and what was expected.
func Read(files ...File) (*Day, error) {
	d := &Day{}
	name := ""
	for _, f := range files {
		name = f.Name
		if len(f.Data) > MaxFile {
			return nil, fmt.Errorf("%s: %d bytes, at most %d expected", name, len(f.Data), MaxFile)
		}
		overlaid := *d
		if err := toml.NewDecoder(bytes.NewReader(f.Data)).DisallowUnknownFields().Decode(&overlaid); err != nil {
			return nil, decodeError(name, err)
		}
		*d = overlaid
	}
	if err := d.Complete(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return d, nil
}

// Complete sets defaults, and returns a [*FieldError] for the first field that is out of its range.
// Only a day that is complete can be simulated.
func (d *Day) Complete() error {
	d.setDefaults()
	return d.validate()
}

// decodeError returns a decoder's error as one line with its place.
func decodeError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		missing := strict.Errors[0]
		line, column := missing.Position()
		return fmt.Errorf("%s:%d:%d: unknown field %q", file, line, column, missing.Key())
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		line, column := invalid.Position()
		return fmt.Errorf("%s:%d:%d: %w", file, line, column, err)
	}
	return fmt.Errorf("%s: %w", file, err)
}
