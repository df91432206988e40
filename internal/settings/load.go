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

// checked is a settings file's type; its check adds every fault that no single
// field shows.
type checked interface{ check(*Faults) }

// Load reads and checks the settings file at path of an entry VM whose
// deployment lists all its VMs. A file with faults gives an error of type
// [Faults].
func Load(path string) (*Settings, error) {
	b, err := read(path)
	if err != nil {
		return nil, err
	}
	return Parse(b)
}

// LoadNode is [Load] for a VM of a deployment whose VMs find each other.
func LoadNode(path string) (*Node, error) {
	b, err := read(path)
	if err != nil {
		return nil, err
	}
	var n Node
	return &n, parse(b, &n)
}

func read(path string) ([]byte, error) {
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
	return b, nil
}

// Parse checks b as the text of a settings file.
func Parse(b []byte) (*Settings, error) {
	var s Settings
	if err := parse(b, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

func parse(b []byte, s checked) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		return Faults{{Path: "(file)", Allowed: "not JSON: " + err.Error()}}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Faults{{Path: "(file)", Allowed: "text after the JSON value"}}
	}
	var faults Faults
	fill(reflect.ValueOf(s).Elem(), tree, "", &faults)
	if len(faults) == 0 {
		s.check(&faults)
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}
