package pool

import (
	"testing"
	"time"

	"tamarackpin.example/internal/job"
)

// TestCompletedAnswerNamesCountedEnds: the log has to show which ends a completed job was counted from.
func TestCompletedAnswerNamesCountedEnds(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("a", 1, 100*time.Millisecond))
	start := h.ordersOfKind(StartOrder)[0]
	h.reply(start, Reply{Done: true})
	h.advance(20 * time.Millisecond)
	renewal := h.ordersOfKind(RenewOrder)[0]
	h.reply(renewal, Reply{Done: true, EndedRuns: []End{{Number: 7, Task: start.Task, Run: start.Run, Kind: EndedDone}}})
	_, answers := h.takePending()
	if len(answers) != 1 || answers[0].Outcome != job.Completed || len(answers[0].Tasks) != 1 {
		t.Fatalf("answers are %+v", answers)
	}
	if got, want := answers[0].Tasks[0], (TaskRecord{Phase: "finished", Run: 1, Worker: "w0", Incarnation: 1, EndNumber: 7}); got != want {
		t.Errorf("task record is %+v, want %+v", got, want)
	}
}
