package wire

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// DecodeStrict decodes one JSON value that fills all of b into v. An unknown
// field, a second value and trailing text are errors.
func DecodeStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("text after the JSON value")
	}
	return nil
}
