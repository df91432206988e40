package crash

import (
	"cmp"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// Record says that a worker was lost while a task was assigned to it. There is one for
// each task and incarnation of a worker. Entry VMs exchange Records as JSON.
type Record struct {
	Task        job.Task           `json:"task"`
	Worker      worker.ID          `json:"worker"`
	Incarnation worker.Incarnation `json:"incarnation"`
	Evidence    Evidence           `json:"evidence"`
}

// UnmarshalJSON decodes and checks a Record.
func (r *Record) UnmarshalJSON(b []byte) error {
	type plain Record
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return errors.Wrap(err, "decoding the loss of a worker")
	}
	if p.Task.Job == "" || p.Worker == "" {
		return errors.New("the loss of a worker lacks its task or worker")
	}
	if err := p.Evidence.Check(); err != nil {
		return err
	}
	*r = Record(p)
	return nil
}

// compare orders Records by task, worker and incarnation.
func (r Record) compare(o Record) int {
	return cmp.Or(r.Task.Compare(o.Task), cmp.Compare(r.Worker, o.Worker), cmp.Compare(r.Incarnation, o.Incarnation))
}
