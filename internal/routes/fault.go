package routes

import (
	"strings"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/check"
	"tamarackpin.example/internal/worker"
)

// fault is a value of a row that cannot be put in force.
type fault struct {
	field string // its name in JSON
	code  check.Code
	err   error
}

// faults returns every value of r that cannot be put in force beside these services.
func (r Row) faults(services map[worker.Service]bool) []fault {
	var faults []fault
	add := func(bad bool, field string, code check.Code, format string, args ...any) {
		if bad {
			faults = append(faults, fault{field, code, errors.Newf(format, args...)})
		}
	}
	add(r.Name == "", "name", "missing_value", "no name")
	add(r.Host == "", "host", "missing_value", "no host")
	add(!strings.HasPrefix(r.Prefix, "/"), "prefix", "bad_prefix", "prefix %q does not begin with a slash", r.Prefix)
	add(!services[r.Service], "service", "unknown_service", "service %q is not in the table", r.Service)
	add(r.Timeout <= 0, "timeout", "out_of_bounds", "timeout %s: want more than 0", r.Timeout)
	add(r.Latency < 0, "latency", "out_of_bounds", "latency %s is negative", r.Latency)
	add(r.Stretch < 0, "stretch", "out_of_bounds", "stretch %g is negative", r.Stretch)
	add(r.Priority < 0, "priority", "out_of_bounds", "priority %d is negative", r.Priority)
	add(r.MaxAttempts < 0, "max_attempts", "out_of_bounds", "max_attempts %d is negative", r.MaxAttempts)
	return faults
}
