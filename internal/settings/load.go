package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"reflect"

	"github.com/cockroachdb/errors"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// Load reads and checks the settings file at path. A file with faults gives an
// error of type [Faults].
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "opening the settings file")
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "reading the settings file")
	}
	if len(b) > maxFileBytes {
		return nil, Faults{{Path: path, Allowed: "the file is over 1 MiB"}}
	}
	return Parse(b)
}

// Parse checks b as the text of a settings file.
func Parse(b []byte) (*Settings, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		return nil, Faults{{Path: "(file)", Allowed: "not JSON: " + err.Error()}}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, Faults{{Path: "(file)", Allowed: "text after the JSON value"}}
	}
	var s Settings
	var faults Faults
	fill(reflect.ValueOf(&s).Elem(), tree, "", &faults)
	if len(faults) == 0 {
		s.check(&faults)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return &s, nil
}
