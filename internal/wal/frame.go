package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

// A frame is a payload behind its length and its checksum.
const (
	frameHeaderBytes = 8
	maxFrameBytes    = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errTorn is the fault of a frame that is not whole. Whether it may be cut off
// depends on where it stands.
var errTorn = errors.New("frame is not whole")

// appendFrame appends payload as a frame.
func appendFrame(b, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...)
}

// cutFrame returns the first frame's payload and what follows. toEnd reports
// whether a frame that is not whole reaches to the end of b.
func cutFrame(b []byte) (payload, rest []byte, toEnd bool, err error) {
	if len(b) < frameHeaderBytes {
		return nil, nil, true, errTorn
	}
	size := binary.BigEndian.Uint32(b)
	sum := binary.BigEndian.Uint32(b[4:])
	body := b[frameHeaderBytes:]
	if size > maxFrameBytes || int(size) > len(body) {
		return nil, nil, true, errTorn
	}
	payload, rest = body[:size], body[size:]
	if crc32.Checksum(payload, castagnoli) != sum {
		return nil, nil, len(rest) == 0, errTorn
	}
	return payload, rest, false, nil
}
