package main

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/endiveturn/endiveturn/hoster"
)

const (
	validHostSettings = `{"host": "h1", "data_centre": "dc1", "client_address": "127.0.0.1:1", "readiness_address": "127.0.0.1:2",
		"peer_address": "127.0.0.1:3", "store_address": "127.0.0.1:4", "promotion_address": "127.0.0.1:5", "stop_timeout_s": 6}`
	validPlatformConfiguration = `{"version": 1, "services": [{"name": "s", "max_conns": 30}],
		"routes": [{"name": "r", "host": "db", "kind": "primary", "service": "s", "timeout_ms": 1000}]}`
)

// TestCheckExitCodes guards against scripts that take an invalid file for a valid one,
// or a wrong command line for an invalid file.
func TestCheckExitCodes(t *testing.T) {
	directory := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	settings, configuration := write("settings.json", validHostSettings), write("config.json", validPlatformConfiguration)
	invalid := write("invalid.json", "{}")
	tests := []struct {
		name string
		args []string
		want int
	}{
		{name: "valid settings", args: []string{"--settings", settings}, want: exitOK},
		{name: "valid configuration", args: []string{"--configuration", configuration}, want: exitOK},
		{name: "both valid", args: []string{"--settings", settings, "--configuration", configuration}, want: exitOK},
		{name: "invalid settings", args: []string{"--settings", invalid, "--configuration", configuration}, want: exitFailed},
		{name: "invalid configuration", args: []string{"--settings", settings, "--configuration", invalid}, want: exitFailed},
		{name: "missing file", args: []string{"--settings", filepath.Join(directory, "nowhere")}, want: exitFailed},
		{name: "nothing to check", want: exitUsage},
		{name: "flag without a file", args: []string{"--settings"}, want: exitUsage},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			got := run(append([]string{"check"}, test.args...), strings.NewReader(""), &stdout, &stderr)
			if got != test.want {
				t.Errorf("got exit code %d, want %d; stderr: %s", got, test.want, stderr.String())
			}
			if (stderr.Len() == 0) != (got == exitOK) {
				t.Errorf("exit code %d with stderr %q", got, stderr.String())
			}
		})
	}
}

// templateSection matches a section of the template that is rendered only if the platform
// has a value of that name.
var templateSection = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}.*?\{\{/([a-z_.]+)\}\}`)

// renderTemplate fills in the template of the deployment, with or without its optional
// sections.
func renderTemplate(t *testing.T, withSections bool) string {
	t.Helper()
	template, err := os.ReadFile("deploy/settings.json.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	content := string(template)
	if !withSections {
		content = templateSection.ReplaceAllString(content, "")
	}
	return strings.NewReplacer(
		"{{node_name|json}}", `"h1"`, "{{zone|json}}", `"dc1"`,
		"{{listen.client_addr|json}}", `"127.0.0.1:1"`, "{{listen.readiness_addr|json}}", `"127.0.0.1:2"`,
		"{{listen.admin|json}}", `"127.0.0.1:3"`, "{{ip}}", "127.0.0.1", "{{internal_ports.0}}", "4",
		"{{platform.address|json}}", `"127.0.0.1:5"`, "{{cloud_api.address|json}}", `"127.0.0.1:6"`,
		"{{seeds|json}}", `["127.0.0.1:3"]`, "{{bounds.grace_s|json}}", "6", "{{limits.memory_mb|json}}", "284", "{{limits.max_fds|json}}", "4200",
		"{{limits.cpu_share|json}}", "0.4", "{{limits.link_mbps|json}}", "1000",
		"{{#bounds.report_window_s}}", "", "{{/bounds.report_window_s}}", "", "{{bounds.report_window_s|json}}", "5",
		"{{bounds.usage_late_s|json}}", "10", "{{bounds.usage_off|json}}", "0.05",
		"{{#bounds.lease_ms}}", "", "{{/bounds.lease_ms}}", "", "{{bounds.lease_ms|json}}", "3000",
	).Replace(content)
}

// TestSettingsTemplate guards against a template of the deployment that produces
// settings which a host refuses, or which leave a setting at its zero value.
func TestSettingsTemplate(t *testing.T) {
	content := renderTemplate(t, true)
	settings, err := hoster.ParseSettings([]byte(content))
	if err != nil {
		t.Fatalf("%v in\n%s", err, content)
	}
	value := reflect.ValueOf(settings)
	for i := range value.NumField() {
		if value.Field(i).IsZero() {
			t.Errorf("the template does not set %s", value.Type().Field(i).Name)
		}
	}
}

// TestSettingsTemplateWithoutUsageReports guards against settings that a host refuses where
// the platform asks for no usage reports, and against reports that nobody asked for.
func TestSettingsTemplateWithoutUsageReports(t *testing.T) {
	content := renderTemplate(t, false)
	settings, err := hoster.ParseSettings([]byte(content))
	if err != nil {
		t.Fatalf("%v in\n%s", err, content)
	}
	if settings.UsageAddress != "" {
		t.Errorf("got usage address %q, want none", settings.UsageAddress)
	}
}
