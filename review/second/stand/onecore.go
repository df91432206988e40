package stand

import (
	"os/exec"
	"runtime"
	"sync/atomic"
	"syscall"
	"unsafe"
)

// mask is a set of processors.
type mask [16]uint64

var nextCore atomic.Int64

// startOnOneCore starts a command that sees one processor, as a process on the users' machines does ("Cores": 1, and "the
// processor list" reports one core). The commands are spread over the processors that this process may use. Where that is
// not possible the command is started as it is.
func startOnOneCore(c *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one mask
	n, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, unsafe.Sizeof(all), uintptr(unsafe.Pointer(&all)))
	if errno != 0 || n == 0 {
		return c.Start()
	}
	var cores []int
	for i := range len(all) * 64 {
		if all[i/64]&(1<<(i%64)) != 0 {
			cores = append(cores, i)
		}
	}
	if len(cores) == 0 {
		return c.Start()
	}
	i := cores[int(nextCore.Add(1))%len(cores)]
	one[i/64] = 1 << (i % 64)
	if _, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(one), uintptr(unsafe.Pointer(&one))); errno != 0 {
		return c.Start()
	}
	defer syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(all), uintptr(unsafe.Pointer(&all)))
	return c.Start()
}
