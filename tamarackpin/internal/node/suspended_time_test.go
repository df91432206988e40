package node

import (
	"testing"
	"time"
)

// TestSuspendedTimeStandsStill: on a machine that is not suspended, the two clocks advance together. They are read one after the
// other, so one of several pairs of readings has to be without a pause in between.
func TestSuspendedTimeStandsStill(t *testing.T) {
	var d time.Duration
	for range 20 {
		before := suspendedTime()
		time.Sleep(50 * time.Millisecond)
		if d = suspendedTime() - before; d.Abs() <= 10*time.Millisecond {
			return
		}
	}
	t.Errorf("the machine seems to be suspended for %s of each 50 ms", d)
}
