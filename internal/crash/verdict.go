package crash

// Verdict is what the losses under a task say about it.
type Verdict int

// The verdicts.
const (
	Clear     Verdict = iota // nothing speaks against the task
	Suspect                  // a worker crashed under it, perhaps because of a task beside it
	Undecided                // maxCrashes workers were lost under it, not all of which are known to have crashed
	Deadly                   // maxCrashes workers crashed under it
)

// maxCrashes is the number of workers that may crash under a task before it is given up:
// the first may have crashed because of a task beside it.
const maxCrashes = 2

// verdict weighs the losses under one task.
func verdict(losses []loss) Verdict {
	crashes, silent := 0, 0
	for _, l := range losses {
		switch {
		case l.Evidence.crashed():
			crashes++
		case !l.Evidence.final():
			silent++
		}
	}
	switch {
	case crashes >= maxCrashes:
		return Deadly
	case crashes+silent >= maxCrashes:
		return Undecided
	case crashes > 0:
		return Suspect
	}
	return Clear
}
