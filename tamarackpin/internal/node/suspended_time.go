package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedTime returns for how long this machine has been suspended since it was started, by the two clocks that differ in that.
// It is 0 where they can't be read.
func suspendedTime() time.Duration {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
