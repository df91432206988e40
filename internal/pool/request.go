package pool

import (
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/worker"
)

// Request is a job as a gate hands it in.
type Request struct {
	Job         job.Job
	Row         routes.RowName
	Service     worker.Service
	Priority    int
	MaxAttempts int
	Latency     time.Duration // see routes.Row
	Stretch     float64
	Age         time.Duration // since the caller sent it
	Patience    time.Duration // how much longer the caller waits
	MayRun      bool          // it was handed to another dispatcher before
}

// Answer is what became of a Request.
type Answer struct {
	Job        job.ID
	Outcome    job.Outcome
	Reason     string        // for the log
	RetryAfter time.Duration // of a refusal
}
