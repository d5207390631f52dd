package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/endiveturn/endiveturn/messenger"
	"github.com/endiveturn/endiveturn/server"
)

// portsPerScript is the number of free ports that a script gets as $ADDR1 and
// so on.
const portsPerScript = 16

// scriptTimeout bounds one statement or wait of a script.
const scriptTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"endiveturn": main})
}

// TestScripts guards against defects of the commands that show only in separate
// processes: the scripts run operator commands and client sessions against hosts and
// stand-ins, each in a process of its own.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setupAddresses,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"sql":           runSQL,
			"await":         awaitSQL,
			"insert_once":   insertOnce,
			"start":         startProcess,
			"await_store":   awaitStore,
			"signal":        signalProcess,
			"find_holder":   findHolder,
			"find_survivor": findSurvivor,
			"ended":         awaitExit,
			"expand":        expandFiles,
		},
	})
}

// setupAddresses sets $ADDR1 and so on to free loopback addresses, which belong to
// the script until it ends.
func setupAddresses(env *testscript.Env) error {
	addresses, release, err := reserveAddresses(portsPerScript)
	if err != nil {
		return err
	}
	env.Defer(release)
	for i, address := range addresses {
		env.Setenv("ADDR"+strconv.Itoa(i+1), address)
	}
	// Verifiers contain dollar signs, which expand would take for variables.
	env.Setenv("DOLLAR", "$")
	return nil
}

// The ports of the scripts are below the range from which the system takes the
// ports of outgoing connections and of listeners on port 0, so that no other
// process gets one of them before a process of the script opens it.
const (
	firstScriptPort  = 20_000
	endOfScriptPorts = 26_000
)

// reserveAddresses returns free loopback addresses with consecutive ports. A
// listener on the port before them reserves them, also between processes, until
// release is called.
func reserveAddresses(count int) (addresses []string, release func(), err error) {
	var config net.ListenConfig
	listen := func(port int) (net.Listener, error) {
		return config.Listen(context.Background(), "tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
	}
	for first := firstScriptPort; first+count < endOfScriptPorts; first += count + 1 {
		reservation, err := listen(first)
		if err != nil {
			continue
		}
		addresses = addresses[:0]
		for port := first + 1; port <= first+count; port++ {
			listener, err := listen(port)
			if err != nil {
				break
			}
			addresses = append(addresses, listener.Addr().String())
			listener.Close()
		}
		if len(addresses) == count {
			return addresses, func() { reservation.Close() }, nil
		}
		reservation.Close()
	}
	return nil, nil, fmt.Errorf("no %d consecutive free ports between %d and %d", count, firstScriptPort, endOfScriptPorts)
}

// TestReserveAddresses guards against two scripts that get the same ports, which
// makes a process of one of them fail to listen.
func TestReserveAddresses(t *testing.T) {
	seen := make(map[string]bool)
	for range 3 {
		addresses, release, err := reserveAddresses(portsPerScript)
		if err != nil {
			t.Fatal(err)
		}
		defer release()
		if got, want := len(addresses), portsPerScript; got != want {
			t.Errorf("addresses: got %d, want %d", got, want)
		}
		for _, address := range addresses {
			if seen[address] {
				t.Errorf("address %s belongs to two scripts", address)
			}
			seen[address] = true
		}
	}
}

// expandFiles is the command "expand FILE...": it replaces variables in files of the
// script.
func expandFiles(ts *testscript.TestScript, _ bool, files []string) {
	for _, file := range files {
		content := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(content), 0o600))
	}
}

// query runs a statement on a new connection and returns the values of its
// rows, one row a line.
func query(ctx context.Context, url, statement string) (string, error) {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	rows, err := conn.Query(ctx, statement)
	if err != nil {
		return "", err
	}
	defer rows.Close()
	text := ""
	for rows.Next() {
		values, err := rows.Values()
		if err != nil {
			return "", err
		}
		for _, value := range values {
			text += fmt.Sprint(value, " ")
		}
		text += "\n"
	}
	return text, rows.Err()
}

// runSQL is the command "sql URL STATEMENT [WANT]"; "! sql URL STATEMENT CODE"
// expects an error that contains the code.
func runSQL(ts *testscript.TestScript, neg bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	got, err := query(ctx, args[0], args[1])
	if neg {
		if err == nil || !strings.Contains(err.Error(), args[2]) {
			ts.Fatalf("error: got %v, want one with %q", err, args[2])
		}
		return
	}
	ts.Check(err)
	if len(args) > 2 && !strings.Contains(got, args[2]) {
		ts.Fatalf("rows: got %q, want %q in them", got, args[2])
	}
}

// awaitSQL is the command "await URL STATEMENT": it repeats a statement until it
// succeeds, for example until a host has started. It logs each distinct error.
func awaitSQL(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	seen := make(seenErrors)
	for {
		_, err := query(ctx, args[0], args[1])
		if err == nil {
			return
		}
		seen.log(ts, err)
		select {
		case <-ctx.Done():
			ts.Fatalf("no success within %v: %v", scriptTimeout, err)
		case <-time.After(pauseBetweenAttempts):
		}
	}
}

// awaitStore is the command "await_store ADDRESS": it waits until something
// listens there.
func awaitStore(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(scriptTimeout)
	for {
		dialer := net.Dialer{Timeout: time.Second}
		conn, err := dialer.DialContext(context.Background(), "tcp", args[0])
		if err == nil {
			conn.Close()
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("nothing listens at %s: %v", args[0], err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startProcess is the command "start NAME ARGUMENT...": it runs endiveturn in
// the background, with its output in NAME.log, until the script ends.
func startProcess(ts *testscript.TestScript, _ bool, args []string) {
	path, err := exec.LookPath("endiveturn")
	ts.Check(err)
	log, err := os.Create(ts.MkAbs(args[0] + ".log"))
	ts.Check(err)
	command := exec.CommandContext(context.Background(), path, args[1:]...)
	command.Dir, command.Stdout, command.Stderr = ts.MkAbs("."), log, log
	ts.Check(command.Start())
	ts.Setenv(args[0]+"_PID", strconv.Itoa(command.Process.Pid))
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	processExits.Store(command.Process.Pid, exited)
	ts.Defer(func() {
		_ = command.Process.Kill()
		<-exited
		log.Close()
	})
}

// processExits maps the pid of each process of a script to a channel that is closed
// when the process has exited.
var processExits sync.Map

// signalProcess is the command "signal SIGNAL NAME": it sends a signal to a
// process that the command start has started.
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM,
	}
	pid, err := strconv.Atoi(ts.Getenv(args[1] + "_PID"))
	ts.Check(err)
	ts.Check(syscall.Kill(pid, signals[args[0]]))
}

// findHolder is the command "find_holder SERVICE": it finds the holder among
// the hosts h1 to h3, whose peer addresses are $ADDR6 to $ADDR8 and whose
// client addresses are $ADDR11 to $ADDR13. It sets $HOLDER to the client address of
// the holder, $OTHER1 and $OTHER2 to those of the other hosts, and $holder_PID to the
// pid of the holder.
func findHolder(ts *testscript.TestScript, _ bool, args []string) {
	client := &messenger.Client{}
	defer client.Close()
	deadline := time.Now().Add(scriptTimeout)
	for time.Now().Before(deadline) {
		for i := range 3 {
			status, err := fetchHostStatus(client, ts, i)
			if err != nil || !holdsService(status, args[0]) {
				continue
			}
			ts.Setenv("HOLDER", ts.Getenv(fmt.Sprint("ADDR", 11+i)))
			ts.Setenv("holder_PID", ts.Getenv(fmt.Sprintf("h%d_PID", i+1)))
			ts.Setenv("OTHER1", ts.Getenv(fmt.Sprint("ADDR", 11+(i+1)%3)))
			ts.Setenv("OTHER2", ts.Getenv(fmt.Sprint("ADDR", 11+(i+2)%3)))
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("no holder of %s within %v", args[0], scriptTimeout)
}

// findSurvivor is the command "find_survivor": it sets $SURVIVOR to the client
// address of a host that still replies.
func findSurvivor(ts *testscript.TestScript, _ bool, _ []string) {
	client := &messenger.Client{}
	defer client.Close()
	for i := range 3 {
		if _, err := fetchHostStatus(client, ts, i); err == nil {
			ts.Setenv("SURVIVOR", ts.Getenv(fmt.Sprint("ADDR", 11+i)))
			return
		}
	}
	ts.Fatalf("no host replies")
}

// fetchHostStatus returns the status of host h1, h2 or h3, for i of 0, 1 or 2.
func fetchHostStatus(client *messenger.Client, ts *testscript.TestScript, i int) (server.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return fetchAnyStatus(ctx, client, []string{ts.Getenv(fmt.Sprint("ADDR", 6+i))})
}

func holdsService(status server.Status, service string) bool {
	return slices.ContainsFunc(status.Services, func(s server.ServiceStatus) bool { return s.Name == service && s.Held })
}

// awaitExit is the command "ended NAME": it waits until a process has exited.
func awaitExit(ts *testscript.TestScript, _ bool, args []string) {
	pid, err := strconv.Atoi(ts.Getenv(args[0] + "_PID"))
	ts.Check(err)
	exited, _ := processExits.Load(pid)
	select {
	case <-exited.(chan struct{}):
	case <-time.After(scriptTimeout):
		ts.Fatalf("%s did not exit within %v", args[0], scriptTimeout)
	}
}
