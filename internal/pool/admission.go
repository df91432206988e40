package pool

import "tamarackpin.example/internal/job"

// Admission names one life of a job in a [Pool]: from the Request that brings it
// in to its Answer. A job that is handed in after its answer was decided begins
// another one, whether or not that answer was taken.
type Admission struct {
	Job    job.ID `json:"job"`
	Number uint64 `json:"number"` // counts the admissions of a Pool from 1
}
