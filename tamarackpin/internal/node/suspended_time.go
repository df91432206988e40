package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// steadyOrigin is a reading of the steady clock.
var steadyOrigin = time.Now()

// suspendedTime returns for how long this machine has been suspended since some moment: the difference of the clock that counts
// suspensions and the one that does not. It is 0 where the former can't be read.
func suspendedTime() time.Duration {
	var boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano()) - time.Since(steadyOrigin)
}
