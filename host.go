package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/hoster"
	"github.com/endiveturn/endiveturn/platform"
	"github.com/endiveturn/endiveturn/reporter"
)

const (
	// memoryShare is the part of the host's memory that the heap may use, so
	// that stacks and socket buffers find room.
	memoryShare = 0.6
	// gcPercent trades memory for processor time, which is the scarcer one.
	gcPercent = 300
)

// A hostCommand runs one host on the platform until it is told to stop.
type hostCommand struct {
	Settings string `long:"settings" description:"settings file; the default is the file that ENDIVETURN_BOOT names"`
	DryRun   bool   `long:"dry-run" description:"check the settings and stop"`
	Level    string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`

	env *environment
}

// Execute implements flags.Commander.
func (c *hostCommand) Execute([]string) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := hoster.ReadSettings(path)
	if err != nil {
		return err
	}
	if c.DryRun {
		fmt.Fprintf(c.env.stdout, "settings of host %s are valid\n", settings.Host)
		return nil
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.Level)); err != nil {
		return errors.Wrap(err, "log level")
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

// reloadOnHangup reads the settings again at each hangup signal. Settings that
// are not valid are reported and change nothing.
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
