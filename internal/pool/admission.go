package pool

import "tamarackpin.example/internal/job"

// Admission identifies one admission of a job to a [Pool], from Submit to its Answer. A
// job that is submitted again after its answer was decided gets a new one, whether or
// not that answer was delivered.
type Admission struct {
	Job    job.ID `json:"job"`
	Number uint64 `json:"number"` // counts the admissions of a Pool from 1
}
