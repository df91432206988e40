package pool

import (
	"testing"
	"time"

	"tamarackpin.example/internal/job"
)

// TestLongTaskIsRestartedOnce guards against stopping a long task on one worker after the other, so
// that its job never ends: a run of it that is long elsewhere too shows that the task is.
func TestLongTaskIsRestartedOnce(t *testing.T) {
	s := newCrashSite(t, 4)
	r := request("long", 1, taskTime/4)
	r.RemainingWait = 20 * time.Second
	s.pool.Submit(s.now, r)
	s.run(4 * taskTime)
	if a, starts := s.answers["long"], s.starts[job.Task{Job: "long"}]; a.Outcome != job.Completed || starts > 2 {
		t.Errorf("answer %+v after %d starts, want completed after two at most", a, starts)
	}
}
