package main

import (
	"math/bits"
	"runtime"
	"syscall"
	"unsafe"
)

// An affinity is a set of processor cores.
type affinity [16]uint64

// first returns the first n cores of the set.
func (a affinity) first(n int) affinity {
	var set affinity
	for i, word := range a {
		for ; word != 0 && n > 0; n-- {
			lowest := uint64(1) << bits.TrailingZeros64(word)
			set[i] |= lowest
			word &^= lowest
		}
	}
	return set
}

func affinityCall(trap uintptr, set *affinity) error {
	_, _, errno := syscall.RawSyscall(trap, 0, unsafe.Sizeof(*set), uintptr(unsafe.Pointer(set)))
	if errno != 0 {
		return errno
	}
	return nil
}

// onCores calls start on a thread that runs on at most n cores, which the processes that
// it starts inherit.
func onCores(n int, start func() error) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all affinity
	if err := affinityCall(syscall.SYS_SCHED_GETAFFINITY, &all); err != nil {
		return err
	}
	few := all.first(n)
	if err := affinityCall(syscall.SYS_SCHED_SETAFFINITY, &few); err != nil {
		return err
	}
	err := start()
	if restoreErr := affinityCall(syscall.SYS_SCHED_SETAFFINITY, &all); restoreErr != nil {
		return restoreErr
	}
	return err
}
