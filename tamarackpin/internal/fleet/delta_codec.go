package fleet

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/routes"
)

// maxTableBytes bounds a decoded change: the largest table that an operator may send,
// with room for the names of the fields.
const maxTableBytes = 32 << 20

func encodeDelta(d routes.Delta) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compressing a change of the table")
	}
	if err := json.NewEncoder(w).Encode(d); err != nil {
		return nil, errors.Wrap(err, "encoding a change of the table")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing a change of the table")
	}
	return b.Bytes(), nil
}

func decodeDelta(b []byte) (routes.Delta, error) {
	var d routes.Delta
	r := io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxTableBytes)
	return d, errors.Wrap(json.NewDecoder(r).Decode(&d), "decoding a change of the table")
}
