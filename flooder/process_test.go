//go:build uncontrolled

package flooder

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// machineMemory is the memory in MB that the settings under test state. It is
	// below that of a host of the platform (184 MB), so that small crowds exceed it.
	machineMemory = 128
	// raceMemoryFactor is the greatest factor by which the race detector increases
	// the memory of a program, from its documentation.
	raceMemoryFactor = 10
	// descriptorLimit is the limit of open files of the processes under test, and
	// fileReserve the part of it that the platform reserves for files.
	descriptorLimit = 600
	fileReserve     = 200
	// maxWait bounds each wait for the product. It only detects hangs, and is less
	// than the minute after which a host for PostgreSQL clients gives up a write.
	maxWait = 40 * time.Second
)

// program is the path of the product's program, built once.
var program string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "flooder")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "endiveturn")
	arguments := []string{"build", "-o", program}
	if raceEnabled {
		arguments = append(arguments, "-race")
	}
	build := exec.CommandContext(context.Background(), "go", append(arguments, ".")...)
	build.Dir = ".."
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// A process is a process of the product under test.
type process struct {
	name   string
	pid    int
	log    string
	exited chan struct{}
	// ports are those on which the process listens.
	ports []string

	mu sync.Mutex
	// peakUnread and peakDescriptors are the greatest numbers of bytes received and
	// not read, and of open descriptors, that were seen.
	peakUnread      int64
	peakDescriptors int
}

// startProcess runs the product with the descriptor limit until the test ends. Its
// output is logged if the test fails.
func startProcess(t *testing.T, name string, addresses []string, arguments ...string) *process {
	t.Helper()
	p := &process{name: name, log: filepath.Join(t.TempDir(), name+".log"), exited: make(chan struct{})}
	for _, address := range addresses {
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		p.ports = append(p.ports, port)
	}
	output, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	script := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, descriptorLimit)
	command := exec.CommandContext(context.Background(), "sh", append([]string{"-c", script, program}, arguments...)...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	p.pid = command.Process.Pid
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	stopSampling := make(chan struct{})
	go p.sample(stopSampling)
	t.Cleanup(func() {
		close(stopSampling)
		_ = command.Process.Kill()
		<-p.exited
		_ = output.Close()
		if t.Failed() {
			t.Logf("log of %s ends with:\n%s", name, p.tail())
		}
	})
	return p
}

// tail returns the end of the process's log.
func (p *process) tail() string {
	const size = 3000
	content, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(content[max(0, len(content)-size):])
}

// sample records peaks until stop is closed. The kernel keeps the peak of the
// resident memory itself.
func (p *process) sample(stop <-chan struct{}) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		unread := p.unread()
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
		p.mu.Lock()
		p.peakUnread, p.peakDescriptors = max(p.peakUnread, unread), max(p.peakDescriptors, len(entries))
		p.mu.Unlock()
	}
}

// unread returns how many bytes the kernel has received and the process has not
// read, which the platform counts as memory of the process.
func (p *process) unread() int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	local := make(map[string]bool)
	for _, port := range p.ports {
		n, _ := strconv.Atoi(port)
		local[fmt.Sprintf("%04X", n)] = true
	}
	const listening = "0A"
	var total int64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		_, received, _ := strings.Cut(fields[4], ":")
		if local[port] {
			n, _ := strconv.ParseInt(received, 16, 64)
			total += n
		}
	}
	return total
}

// peakResident returns the greatest resident memory of the process so far in bytes.
func (p *process) peakResident(t *testing.T) int64 {
	t.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		t.Fatalf("%s: %v", p.name, err)
	}
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	t.Fatalf("%s has no resident memory", p.name)
	return 0
}

// check fails the test unless the process is alive and has stayed within its
// memory and descriptors.
func (p *process) check(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		t.Fatalf("%s has ended", p.name)
	default:
	}
	p.mu.Lock()
	unread, descriptors := p.peakUnread, p.peakDescriptors
	p.mu.Unlock()
	limit := int64(machineMemory << 20)
	if raceEnabled {
		limit *= raceMemoryFactor
	}
	resident := p.peakResident(t)
	t.Logf("%s: at most %d MB resident, %d MB received and not read, %d descriptors", p.name, resident>>20, unread>>20, descriptors)
	if got := resident + unread; got > limit {
		t.Errorf("%s: memory: got %d MB, want at most %d", p.name, got>>20, limit>>20)
	}
	if got, want := descriptors, descriptorLimit-fileReserve; got > want {
		t.Errorf("%s: descriptors: got %d, want at most %d", p.name, got, want)
	}
}

// reserveAddresses returns free loopback addresses below the range from which the
// system takes the ports of outgoing connections.
func reserveAddresses(t *testing.T, count int) []string {
	t.Helper()
	var config net.ListenConfig
	var addresses []string
	for port := 27_000; port < 31_000 && len(addresses) < count; port++ {
		listener, err := config.Listen(t.Context(), "tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		addresses = append(addresses, listener.Addr().String())
		defer listener.Close()
	}
	if len(addresses) < count {
		t.Fatalf("no %d free ports", count)
	}
	return addresses
}

// eventually repeats attempt until it returns no error.
func eventually(t *testing.T, what string, attempt func() error) {
	t.Helper()
	deadline := time.Now().Add(maxWait)
	for {
		err := attempt()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: no success within %v: %v", what, maxWait, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
