package pool

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/worker"
)

// The load replays drive one group of 29 workers with the load of deployments A and B of
// docs/design/hard-load.md, in steps of virtual time. The needs of tasks vary from job to
// job, so that a worker holds one to three of them.
const (
	loadStep    = 5 * time.Millisecond
	loadLength  = 13 * time.Second // a period of the wave of deployment B
	loadWorkers = 29
	needSpread  = 0.2 // standard deviation of the needs, as a share of the mean
	needCut     = 1.5 // no task needs more times the mean
	tailFactor  = 7   // how much longer the tasks of the tail take
)

// loadRow is a row of a deployment, with the rate of one group.
type loadRow struct {
	name     routes.RowName
	priority int
	rate     float64 // jobs a second
	tasks    int
	work     time.Duration
	value    float64 // of an answer within the objective; a fifth if it is late
}

// loadDeployment is what distinguishes the load of the deployments.
type loadDeployment struct {
	rows      []loadRow
	need      int        // mean need of a task in thousandths of a core
	cores     [2]int     // of the workers
	factors   [3]float64 // time per unit of work of the kinds of workers
	amplitude float64    // of the wave of demand
	period    time.Duration
	tail      float64 // share of the tasks that take tailFactor times as long
}

var (
	deploymentA = loadDeployment{
		rows: []loadRow{
			{"quick", 0, 206.0 / 3 * loadWorkers / 117, 8, 60 * time.Millisecond, 0.00485},
			{"long", 2, 37.5 / 3 * loadWorkers / 117, 4, 900 * time.Millisecond, 0.0267},
			{"medium", 1, 600.0 / 3 * loadWorkers / 117, 2, 200 * time.Millisecond, 0.00167},
		},
		need: 8000, cores: [2]int{16, 24}, factors: [3]float64{0.6, 1, 1.6}, amplitude: 0.15, period: 11 * time.Second,
	}
	deploymentB = loadDeployment{
		rows: []loadRow{
			{"quick", 0, 181.0 / 4 * loadWorkers / 88, 8, 51 * time.Millisecond, 0.00485},
			{"long", 2, 33.0 / 4 * loadWorkers / 88, 4, 760 * time.Millisecond, 0.0267},
			{"medium", 1, 528.0 / 4 * loadWorkers / 88, 2, 170 * time.Millisecond, 0.00167},
		},
		need: 16000, cores: [2]int{32, 48}, factors: [3]float64{0.8, 1, 1.25}, amplitude: 0.55, period: 13 * time.Second, tail: 0.03,
	}
)

// loadPattern is a load and the workers lost during it.
type loadPattern struct {
	name       string
	deployment *loadDeployment
	rate       float64        // factor of the rates
	surge      routes.RowName // row with 1.8 times its rate during loadSurge
	loss       bool           // a quarter of the workers is lost at the height of the first wave
}

// The surge and the loss begin while the wave of demand is high.
const (
	loadSurgeAt     = 2 * time.Second
	loadSurgeLength = 4 * time.Second
	loadSurgeFactor = 1.8
	loadLossAt      = 3 * time.Second
	// busiestShare is the load of the busiest failure domain of deployment B against the mean.
	busiestShare = 1.35 * 4 / (3 + 1.35)
)

var loadPatterns = []loadPattern{
	{name: "A", deployment: &deploymentA, rate: 1},
	{name: "A at 1.3", deployment: &deploymentA, rate: 1.3},
	{name: "A at 1.3, quick at 1.8 for 4 s", deployment: &deploymentA, rate: 1.3, surge: "quick"},
	{name: "A at 1.3, medium at 1.8 for 4 s", deployment: &deploymentA, rate: 1.3, surge: "medium"},
	{name: "A at 1.3, a quarter of the workers lost", deployment: &deploymentA, rate: 1.3, loss: true},
	{name: "A at 1.3, quick at 1.8 for 4 s, a quarter of the workers lost", deployment: &deploymentA, rate: 1.3, surge: "quick", loss: true},
	{name: "B", deployment: &deploymentB, rate: 1},
	{name: "B at 1.3", deployment: &deploymentB, rate: 1.3},
	{name: "B at 1.3, busiest failure domain", deployment: &deploymentB, rate: 1.3 * busiestShare},
	{name: "B at 1.3, long at 1.8 for 4 s", deployment: &deploymentB, rate: 1.3, surge: "long"},
	{name: "B at 1.3, a quarter of the workers lost", deployment: &deploymentB, rate: 1.3, loss: true},
}

// rateAt returns the rate of a row at a time since the start of the trace.
func (p loadPattern) rateAt(row loadRow, at time.Duration) float64 {
	d := p.deployment
	rate := row.rate * p.rate * (1 + d.amplitude*math.Sin(2*math.Pi*at.Seconds()/d.period.Seconds()))
	if row.name == p.surge && at >= loadSurgeAt && at < loadSurgeAt+loadSurgeLength {
		rate *= loadSurgeFactor
	}
	return rate
}

// loadJob is a job of a trace, with the true duration of each task on a worker of factor 1.
type loadJob struct {
	Request
	value      float64
	at         time.Time
	work       []time.Duration
	answer     job.Outcome // empty before the answer
	answeredAt time.Time
	spent      float64 // core-seconds of its runs that ended as done
}

// objective returns how long the job may take.
func (j *loadJob) objective() time.Duration {
	return time.Duration(j.Stretch*float64(slices.Max(j.work))) + j.Latency
}

// usefulness returns 1 if the answer met the objective, 0.2 if it was late and of use, else 0.
func (j *loadJob) usefulness() float64 {
	switch took := j.answeredAt.Sub(j.at); {
	case j.answer != job.Completed || took > usefulFactor*j.objective():
		return 0
	case took > j.objective():
		return 0.2
	}
	return 1
}

// vary returns a factor that is uniform within 40% of 1.
func vary(r *rand.Rand) float64 { return 0.6 + 0.8*r.Float64() }

// loadTrace draws the jobs of a pattern, sorted by arrival.
func loadTrace(start time.Time, p loadPattern, seed uint64) (jobs []*loadJob) {
	d := p.deployment
	for i, row := range d.rows {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		top := row.rate * p.rate * (1 + d.amplitude) * loadSurgeFactor
		for at, n := time.Duration(0), 0; ; n++ {
			at += time.Duration(r.ExpFloat64() / top * float64(time.Second))
			if at > loadLength {
				break
			}
			if r.Float64() > p.rateAt(row, at)/top {
				continue
			}
			jobs = append(jobs, drawLoadJob(r, start.Add(at), d, row, n))
		}
	}
	slices.SortFunc(jobs, func(a, b *loadJob) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.Job.ID, b.Job.ID)) })
	return jobs
}

// drawLoadJob draws the n-th job of a row. Its caller waits until an answer is of no use, and
// at least 1.5 s.
func drawLoadJob(r *rand.Rand, at time.Time, d *loadDeployment, row loadRow, n int) *loadJob {
	const latency, stretch = 60 * time.Millisecond, 1.6
	wait := max(1500*time.Millisecond, usefulFactor*(time.Duration(stretch*float64(row.work))+latency))
	j := &loadJob{at: at, value: row.value, Request: Request{
		Row: row.name, Service: "s", Priority: row.priority, MaxAttempts: 3, Stretch: stretch, Latency: latency, RemainingWait: wait,
	}}
	mean := time.Duration(float64(row.work) * vary(r))
	declared := time.Duration(float64(mean) * vary(r))
	need := int(float64(d.need) * min(needCut, max(2-needCut, 1+needSpread*r.NormFloat64())))
	tasks := max(1, int(math.Round(float64(row.tasks)*vary(r))))
	for range tasks {
		work := mean
		if r.Float64() < d.tail {
			work *= tailFactor
		}
		j.work = append(j.work, work)
	}
	j.Job = job.Job{ID: job.ID(fmt.Sprint(row.name, "-", n)), Steps: []job.Step{{
		Count: tasks, Need: worker.Resources{MilliCores: need, MemoryMB: 64}, Estimate: declared,
	}}}
	return j
}
