package crash

// Verdict is what the losses under a task say about it.
type Verdict int

// The verdicts.
const (
	Clear     Verdict = iota // nothing speaks against the task
	Suspect                  // a worker crashed under it, perhaps because of a task beside it
	Undecided                // maxCrashes workers were lost under it, some of which are silent and may be seen again
	Exhausted                // maxLosses workers were lost under it, too few of them while they surely ran it
	Deadly                   // maxCrashes workers crashed under it
)

// GivenUp reports whether the task is not started any more.
func (v Verdict) GivenUp() bool { return v >= Exhausted }

// maxCrashes is the number of workers that may crash under a task before it is given up:
// the first may have crashed because of a task beside it.
const maxCrashes = 2

// maxLosses bounds the losses under a task that may never have run on the workers that
// crashed. As the platform states it, a task may be started fewer than three times more
// after three crashes.
const maxLosses = 4

// verdict weighs the losses under one task.
func verdict(losses []loss) Verdict {
	crashes, silent, unproven := 0, 0, 0
	for _, l := range losses {
		switch {
		case l.Evidence.crashed():
			crashes++
		case l.Evidence == Unproven:
			unproven++
		case !l.Evidence.final():
			silent++
		}
	}
	switch {
	case crashes >= maxCrashes:
		return Deadly
	case crashes+silent >= maxCrashes:
		return Undecided
	case crashes+unproven >= maxLosses:
		return Exhausted
	case crashes+unproven > 0:
		return Suspect
	}
	return Clear
}
