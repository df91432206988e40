package vm

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// Processor is what a VM has of the processor, in thousandths of a core.
type Processor int

const (
	core     Processor = 1000
	maxCores           = 1024 // more is a slip of the pen
)

// UnmarshalText takes a number of cores, such as "0.4".
func (p *Processor) UnmarshalText(b []byte) error {
	cores, err := strconv.ParseFloat(string(b), 64)
	if err != nil || !(cores > 0 && cores <= maxCores) {
		return errors.Newf("want a number of cores above 0 and up to %d, such as 0.4", maxCores)
	}
	*p = max(1, Processor(cores*float64(core)+0.5))
	return nil
}

// MarshalText writes the number of cores.
func (p Processor) MarshalText() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(p)/float64(core), 'f', -1, 64), nil
}
