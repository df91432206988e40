package keeper

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/routes"
)

// entry is one log entry: a table to store, an order, the members that store evacuations, or a
// barrier, which stores nothing and makes the proposer see the table as of its position in the log.
// Earlier builds know tables and barriers only, and skip the others in the log.
type entry struct {
	Table   *routes.Table    `json:"table,omitempty"`
	Barrier bool             `json:"barrier,omitempty"`
	Order   *order           `json:"evacuation,omitempty"`
	Storing *[]quorum.Member `json:"storing_evacuations,omitempty"`
}

const (
	// compressAbove is the size in bytes from which entries and snapshots are compressed.
	// Smaller ones stay readable for builds that know plain JSON only.
	compressAbove = 32 << 10
	// compressed is the first byte of compressed data; that of JSON is never 0.
	compressed = 0
	// maxDecodedBytes bounds what compressed data may decode to: several times the largest
	// table that an operator may send, as the rows and the source are both stored.
	maxDecodedBytes = 64 << 20
)

// encode returns v as JSON, compressed if that is large.
func encode(v any) ([]byte, error) {
	plain, err := json.Marshal(v)
	if err != nil || len(plain) <= compressAbove {
		return plain, err
	}
	b := bytes.NewBuffer([]byte{compressed})
	w, err := flate.NewWriter(b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decode reads what encode returned into v.
func decode(b []byte, v any) error {
	if len(b) == 0 || b[0] != compressed {
		return json.Unmarshal(b, v)
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[1:])), maxDecodedBytes))
	if err != nil {
		return errors.Wrap(err, "decompressing")
	}
	return json.Unmarshal(plain, v)
}
