package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/hoster"
	"github.com/endiveturn/endiveturn/platform"
	"github.com/endiveturn/endiveturn/reporter"
)

const (
	// memoryShare is the share of the host's memory that the heap may use. The
	// rest is left for stacks and socket buffers.
	memoryShare = 0.6
	// gcPercent is the target of the garbage collector. A value above the default
	// spends memory to save processor time, which is scarcer.
	gcPercent = 300
)

// A hostCommand runs one host on the platform until it receives SIGTERM or SIGINT.
type hostCommand struct {
	Settings string `long:"settings" description:"settings file; the default is the file that ENDIVETURN_BOOT names"`
	DryRun   bool   `long:"dry-run" description:"check the settings and stop"`
	Level    string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"minimum level of the log lines"`

	env *environment
}

// Execute implements flags.Commander.
func (c *hostCommand) Execute([]string) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return &flags.Error{Type: flags.ErrRequired, Message: "no settings: give --settings or set " + platform.SettingsVariable}
	}
	settings, err := hoster.ReadSettings(path)
	if err != nil {
		return printViolations(c.env.stderr, path, err)
	}
	if c.DryRun {
		fmt.Fprintf(c.env.stdout, "settings of host %s are valid\n", settings.Host)
		return nil
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.Level)); err != nil {
		return errors.Wrap(err, "parse log level")
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if settings.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMegabytes<<20)))
	}
	writer := reporter.NewWriter(c.env.stdout)
	host := &hoster.Host{
		Settings: settings, Platform: platform.New(settings), Logger: reporter.NewLogger(writer, level),
		Writer: writer, Registry: gometrics.NewRegistry(),
	}
	stop := reloadOnHangup(host, path)
	defer stop()
	return host.Run(c.env.ctx)
}

// reloadOnHangup reloads the settings at each SIGHUP until stop is called. Invalid
// settings are logged and have no effect.
func reloadOnHangup(host *hoster.Host, path string) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-hangups:
			case <-done:
				return
			}
			settings, err := hoster.ReadSettings(path)
			if err != nil {
				host.Logger.Error("settings_rejected", "error", err.Error())
				continue
			}
			host.Reload(settings)
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(done)
	}
}
