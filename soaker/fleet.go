package soaker

import (
	"context"
	"log/slog"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// databaseCount is the number of databases of the group.
	databaseCount = 3
	// startTimeout bounds the start of a stand-in and the first publication.
	startTimeout = 30 * time.Second
	// retryInterval is the pause between two attempts of a step.
	retryInterval = 50 * time.Millisecond
)

// A host is one host process with its links.
type host struct {
	name        string
	dataCentre  string
	process     *Process
	peerAddress string
	// clientLink leads from clients to the host, and storeLink from the host to the
	// store.
	clientLink, storeLink *Link
	// peerLinks lead from the host to the others, by their indices. The one to itself
	// is nil.
	peerLinks []*Link
}

// A fleet is the set of processes and links of one run.
type fleet struct {
	// executable is the program endiveturn.
	executable string
	// dir holds settings and logs.
	dir    string
	ports  *portBlock
	logger *slog.Logger
	// onExit is called when a process ends without a fault.
	onExit func(name string, err error)

	store, group  *Process
	storeAddress  string
	hosts         []*host
	databaseLinks []*Link
	links         sync.WaitGroup

	// started is set once the first configuration is published.
	started bool
	// publishing serializes changes of the configuration.
	publishing     sync.Mutex
	probeWithdrawn bool
	takenOut       map[string]bool
}

func (f *fleet) path(name string) string { return filepath.Join(f.dir, name) }

func (f *fleet) newProcess(name string, arguments ...string) *Process {
	return &Process{
		Name: name, Executable: f.executable, Arguments: arguments, LogPath: f.path(name + ".log"),
		OnExit: f.onExit, Logger: f.logger,
	}
}

// newLink runs a link to the target until ctx ends.
func (f *fleet) newLink(ctx context.Context, target string, identify func(net.Addr) string) (*Link, error) {
	listener, err := f.ports.listener()
	if err != nil {
		return nil, err
	}
	link := &Link{Listener: listener, Target: target, Identify: identify}
	f.runLink(ctx, link)
	return link, nil
}

func (f *fleet) runLink(ctx context.Context, link *Link) {
	f.links.Go(func() {
		if err := link.Run(ctx); err != nil {
			f.logger.Error("link_failed", "target", link.Target, "error", err)
		}
	})
}

// linkPeers runs a link from each host to each other. Where a host learns the address of
// another one, the link replaces it by that of the link to the other.
func (f *fleet) linkPeers(ctx context.Context) error {
	for _, h := range f.hosts {
		h.peerLinks = make([]*Link, len(f.hosts))
		for j, other := range f.hosts {
			if other == h {
				continue
			}
			listener, err := f.ports.listener()
			if err != nil {
				return err
			}
			h.peerLinks[j] = &Link{Listener: listener, Target: other.peerAddress}
		}
	}
	for i, h := range f.hosts {
		for j, link := range h.peerLinks {
			if link == nil {
				continue
			}
			for k := range f.hosts {
				link.Requests.add(f.addressSeenBy(i, k), f.addressSeenBy(j, k))
				link.Responses.add(f.addressSeenBy(j, k), f.addressSeenBy(i, k))
			}
			f.runLink(ctx, link)
		}
	}
	return nil
}

// addressSeenBy returns the address at which a host reaches another one, or its own.
func (f *fleet) addressSeenBy(host, other int) string {
	if host == other {
		return f.hosts[other].peerAddress
	}
	return f.hosts[host].peerLinks[other].Listener.Addr().String()
}

// start creates the links and starts all processes. The links run until ctx ends.
func (f *fleet) start(ctx context.Context, hosts int) error {
	f.takenOut = make(map[string]bool)
	if err := f.prepareStandIns(ctx); err != nil {
		return err
	}
	for i := range hosts {
		if err := f.prepareHost(ctx, i); err != nil {
			return err
		}
	}
	if err := f.linkPeers(ctx); err != nil {
		return err
	}
	if err := f.writeGroup(); err != nil {
		return err
	}
	for i := range f.hosts {
		if err := f.writeHost(i); err != nil {
			return err
		}
	}
	for _, p := range []*Process{f.store, f.group} {
		if err := p.Start(); err != nil {
			return err
		}
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if _, err := f.publishUntilDone(startCtx, func() {}); err != nil {
		return err
	}
	f.started = true
	for _, h := range f.hosts {
		if err := h.process.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) prepareStandIns(ctx context.Context) error {
	address, err := f.ports.address()
	if err != nil {
		return err
	}
	f.storeAddress = address
	f.store = f.newProcess("store", "standin", "store", "--address", address)
	f.group = f.newProcess("group", "standin", "group", f.path("group.json"))
	for range databaseCount {
		address, err := f.ports.address()
		if err != nil {
			return err
		}
		link, err := f.newLink(ctx, address, f.identifyHost)
		if err != nil {
			return err
		}
		f.databaseLinks = append(f.databaseLinks, link)
	}
	return nil
}

func (f *fleet) prepareHost(ctx context.Context, i int) error {
	name := hostName(i)
	h := &host{name: name, dataCentre: dataCentreName(i), process: f.newProcess(name, "serve", f.path(name+".json"))}
	clientAddress, err := f.ports.address()
	if err != nil {
		return err
	}
	if h.peerAddress, err = f.ports.address(); err != nil {
		return err
	}
	if h.clientLink, err = f.newLink(ctx, clientAddress, nil); err != nil {
		return err
	}
	if h.storeLink, err = f.newLink(ctx, f.storeAddress, nil); err != nil {
		return err
	}
	f.hosts = append(f.hosts, h)
	return nil
}

// stop kills all processes.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.process.Close()
	}
	for _, p := range []*Process{f.store, f.group} {
		if p != nil {
			p.Close()
		}
	}
}

// publishUntilDone publishes the configuration with the state of the probe key that set
// assigns, until it succeeds. It reports whether all hosts have confirmed it.
func (f *fleet) publishUntilDone(ctx context.Context, set func()) (confirmed bool, err error) {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	set()
	dir, err := f.writeConfiguration(f.probeWithdrawn, f.takenOut)
	if err != nil {
		return false, err
	}
	arguments := []string{"publish", dir, "--store", f.storeAddress}
	if f.started {
		arguments = append(arguments, "--wait", publishWait.String())
		for _, h := range f.hosts {
			arguments = append(arguments, "--host", h.peerAddress)
		}
	}
	for {
		code, output, err := f.runCommand(ctx, arguments...)
		switch {
		case err != nil:
			return false, err
		case code == 0:
			// An attempt after one that took effect unnoticed publishes nothing and
			// waits for no host.
			return strings.Contains(output, confirmedText), nil
		case code == exitUnconfirmed:
			return false, nil
		}
		if !timekeeper.Sleep(ctx, retryInterval) {
			return false, errors.New("publication did not succeed in time")
		}
	}
}

const (
	// publishWait is how long publish waits for the confirmations of the hosts.
	publishWait = 3 * time.Second
	// exitUnconfirmed is the exit code of publish when some hosts have not
	// confirmed the configuration.
	exitUnconfirmed = 3
	exitUsage       = 2
	// confirmedText is in the output of publish when all hosts have confirmed.
	confirmedText = "is in force on all"
)

// runCommand runs a command of endiveturn and returns its exit code.
func (f *fleet) runCommand(ctx context.Context, arguments ...string) (code int, output string, err error) {
	command := exec.CommandContext(ctx, f.executable, arguments...)
	content, err := command.CombinedOutput()
	output = string(content)
	code = command.ProcessState.ExitCode()
	f.logger.Info("command_run", "command", arguments[0], "arguments", arguments[1], "code", code, "output", output)
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return code, output, errors.Wrapf(err, "run %s", arguments[0])
	}
	if code == exitUsage || code < 0 {
		return code, output, errors.Errorf("%s %s: exit code %d: %s", arguments[0], arguments[1], code, output)
	}
	return code, output, nil
}
