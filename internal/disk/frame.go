package disk

import (
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/cockroachdb/errors"
)

// A frame is a payload behind its length and its checksum.
const (
	frameHeaderBytes = 8
	// MaxFrameBytes bounds the payload of one frame.
	MaxFrameBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrTorn is the fault of a frame that is not whole. Whether it may be cut off
// depends on where it stands.
var ErrTorn = errors.New("frame is not whole")

// AppendFrame appends payload as a frame.
func AppendFrame(b, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...)
}

// CutFrame returns the first frame's payload and what follows. toEnd reports
// whether a frame that is not whole reaches to the end of b.
func CutFrame(b []byte) (payload, rest []byte, toEnd bool, err error) {
	if len(b) < frameHeaderBytes {
		return nil, nil, true, ErrTorn
	}
	size := binary.BigEndian.Uint32(b)
	sum := binary.BigEndian.Uint32(b[4:])
	body := b[frameHeaderBytes:]
	if size > MaxFrameBytes || int(size) > len(body) {
		return nil, nil, true, ErrTorn
	}
	payload, rest = body[:size], body[size:]
	if crc32.Checksum(payload, castagnoli) != sum {
		return nil, nil, len(rest) == 0, ErrTorn
	}
	return payload, rest, false, nil
}

// ReadFrame reads one frame and returns its payload.
func ReadFrame(r io.Reader) ([]byte, error) {
	header := make([]byte, frameHeaderBytes)
	if _, err := io.ReadFull(r, header); err != nil {
		return nil, errors.Wrap(err, "reading a frame")
	}
	size := binary.BigEndian.Uint32(header)
	if size > MaxFrameBytes {
		return nil, ErrTorn
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, errors.Wrap(err, "reading a frame")
	}
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(header[4:]) {
		return nil, ErrTorn
	}
	return payload, nil
}
