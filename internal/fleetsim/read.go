package fleetsim

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// MaxFileBytes is the maximum size of a description file in bytes.
const MaxFileBytes = 1 << 20

// File is a description file. Its name appears in errors.
type File struct {
	Name string
	Data []byte
}

// Read reads the description of a day from one or more files. Values in later files replace those
// of earlier files, and lists of tables are replaced as a whole. One file can thus describe the
// fleet and another a fault. An error is one line that names the file, the position or the field,
// and the allowed values.
func Read(files ...File) (*Day, error) {
	d := &Day{}
	name := ""
	for _, f := range files {
		name = f.Name
		if len(f.Data) > MaxFileBytes {
			return nil, fmt.Errorf("%s: %d bytes, at most %d expected", name, len(f.Data), MaxFileBytes)
		}
		merged := *d
		if err := toml.NewDecoder(bytes.NewReader(f.Data)).DisallowUnknownFields().Decode(&merged); err != nil {
			return nil, decodeError(name, err)
		}
		*d = merged
	}
	if err := d.Complete(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return d, nil
}

// Complete sets the defaults and validates the day. It returns a [*FieldError] for the first field
// whose value is out of range. Only a complete day can be simulated.
func (d *Day) Complete() error {
	d.setDefaults()
	return d.validate()
}

// decodeError returns an error of the TOML decoder as one line with its position.
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
