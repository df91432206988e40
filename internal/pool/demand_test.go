package pool

import (
	"math"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
)

// TestDemandTrend guards against a group that offers the slots that its own jobs are about to need: with the waves of demand that are
// stated, it offers less while demand rises, and all of its free slots while it falls or is even.
func TestDemandTrend(t *testing.T) {
	const period = 13 * time.Second
	for _, amplitude := range []float64{0, 0.15, 0.55} {
		var d demand
		now := time.Unix(1000, 0)
		rising, falling := 0, 0
		for step := range 2600 { // 26 s of 100 jobs a second with 2 tasks of 0.2 s, which take 40 slots
			now = now.Add(10 * time.Millisecond)
			phase := 2 * math.Pi * float64(step) * 0.01 / period.Seconds()
			d.add(now, time.Duration((1+amplitude*math.Sin(phase))*0.4*float64(time.Second)))
			if step < 1300 {
				continue
			}
			switch quarter := math.Cos(phase); {
			case quarter > 0.7:
				rising = max(rising, d.rise(now))
			case quarter < -0.7:
				falling = max(falling, d.rise(now))
			}
		}
		if wantRise := amplitude > 0.5; rising >= 6 != wantRise || falling > 3 {
			t.Errorf("amplitude %.2f: %d slots while demand rises, %d while it falls", amplitude, rising, falling)
		}
	}
}

// TestReportLeavesRoomForRisingDemand guards against a report that ignores the trend, and against jobs of other groups, or jobs that came
// back, in the trend.
func TestReportLeavesRoomForRisingDemand(t *testing.T) {
	for _, c := range []struct {
		name  string
		job   func(*Request)
		fewer bool
	}{
		{"own jobs", func(*Request) {}, true},
		{"offloaded here", func(r *Request) { r.Offloaded = true }, false},
		{"came back", func(r *Request) { r.OffloadRefused = true }, false},
		{"forwarded again", func(r *Request) { r.MayBeRunning = true }, false},
	} {
		h := newHarness(t, 10)
		h.pool.demand.since = h.now.Add(-time.Minute)
		h.pool.demand.at = h.now
		free := h.pool.Report(h.now).FreeSlots
		for i := range 8 {
			r := request(string(rune('a'+i)), 4, 900*time.Millisecond)
			c.job(&r)
			a := h.pool.Submit(h.now, r)
			h.pool.Withdraw(h.now, a)
		}
		h.pool.TakePending()
		for _, w := range h.pool.byID { // as if nothing had started
			for _, one := range assignedTasks(w) {
				one.release()
			}
		}
		if got := h.pool.Report(h.now).FreeSlots; got < free != c.fewer {
			t.Errorf("%s: %d free slots, %d before", c.name, got, free)
		}
	}
}

// TestRefusalOfOffloadedJobTellsCapacity guards against a gate that learns only that a job was refused, and not whether the group has room.
func TestRefusalOfOffloadedJobTellsCapacity(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("ahead", 2, 900*time.Millisecond)) // takes all the room
	r := request("a", 1, 900*time.Millisecond)
	r.Offloaded = true
	h.pool.Submit(h.now, r)
	_, answers := h.pool.TakePending()
	if len(answers) != 1 || answers[0].Outcome != job.NotRun || answers[0].Reason == "" || answers[0].FreeSlots == nil || *answers[0].FreeSlots >= minFreeSlots {
		t.Errorf("answers %+v, want a refusal with a reason and the free slots", answers)
	}
}
