package soaker

import (
	"context"
	"log/slog"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// A Process is a program that a soak starts, suspends, stops and restarts. Its
// exported fields must be set before Start. Overlapping faults are counted: the
// process resumes or restarts when the last of them ends.
type Process struct {
	// Name names the process in log lines and its log file.
	Name string
	// Executable and Arguments start the process.
	Executable string
	Arguments  []string
	// LogPath is the file to which the output is appended.
	LogPath string
	// OnExit is called when the process ends by itself, without a fault.
	OnExit func(name string, err error)
	Logger *slog.Logger

	mu      sync.Mutex
	command *exec.Cmd
	// exited is closed when command has ended.
	exited chan struct{}
	// ending is set while the process is expected to end.
	ending bool
	// pauses and outages count the active faults of their kind.
	pauses, outages int
	// closed is set once the process must not be started again.
	closed bool
}

// Start starts the process unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.start()
}

func (p *Process) start() error {
	if p.command != nil || p.closed || p.outages > 0 {
		return nil
	}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer log.Close()
	command := exec.CommandContext(context.Background(), p.Executable, p.Arguments...)
	command.Stdout, command.Stderr = log, log
	// No process outlives a soak that is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.command, p.exited, p.ending = command, make(chan struct{}), false
	p.Logger.Debug("process_started", "process", p.Name, "pid", command.Process.Pid)
	if p.pauses > 0 {
		_ = command.Process.Signal(syscall.SIGSTOP)
	}
	go p.wait(command, p.exited)
	return nil
}

func (p *Process) wait(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	unexpected := !p.ending
	p.command = nil
	close(exited)
	p.mu.Unlock()
	p.Logger.Debug("process_ended", "process", p.Name, "unexpected", unexpected, "error", err)
	if unexpected {
		p.OnExit(p.Name, err)
	}
}

// PID returns the id of the process, or 0 if it does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// signal sends a signal if the process runs. The caller holds mu.
func (p *Process) signal(signal syscall.Signal) {
	if p.command == nil {
		return
	}
	if err := p.command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.Logger.Warn("signal_failed", "process", p.Name, "signal", signal, "error", err)
	}
}

// Signal sends a signal if the process runs.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signal(signal)
}

// Pause suspends the process until the returned function is called.
func (p *Process) Pause() (resume func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauses++
	p.signal(syscall.SIGSTOP)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.pauses--; p.pauses == 0 {
			p.signal(syscall.SIGCONT)
		}
	}
}

// Kill kills the process, which stays down until the returned function is called.
func (p *Process) Kill() (restart func() error) {
	p.mu.Lock()
	p.outages++
	p.ending = true
	p.signal(syscall.SIGKILL)
	exited := p.exited
	p.mu.Unlock()
	<-exited
	return p.restart
}

// Terminate sends SIGTERM and waits up to timeout for the process to end, during
// which a suspension does not count. It reports whether it ended; if not, it is
// killed. The process stays down until the returned function is called.
func (p *Process) Terminate(timeout time.Duration) (restart func() error, ended bool) {
	p.mu.Lock()
	p.outages++
	p.ending = true
	p.signal(syscall.SIGTERM)
	exited := p.exited
	p.mu.Unlock()
	const step = 50 * time.Millisecond
	for waited := time.Duration(0); waited < timeout; {
		select {
		case <-exited:
			return p.restart, true
		case <-time.After(step):
		}
		p.mu.Lock()
		if p.pauses == 0 {
			waited += step
		}
		p.mu.Unlock()
	}
	p.mu.Lock()
	p.signal(syscall.SIGKILL)
	p.mu.Unlock()
	<-exited
	return p.restart, false
}

func (p *Process) restart() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outages--
	return p.start()
}

// Close kills the process for good.
func (p *Process) Close() {
	p.mu.Lock()
	p.closed, p.ending = true, true
	p.signal(syscall.SIGKILL)
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}
