package hoster

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/budgeter"
)

const validSettings = `{
  "host": "h1", "data_centre": "dc1", "client_address": "127.0.0.1:1", "readiness_address": "127.0.0.1:2",
  "peer_address": "127.0.0.1:3", "metrics_address": "", "store_address": "127.0.0.1:4",
  "promotion_address": "127.0.0.1:5", "seeds": ["127.0.0.1:3"], "stop_timeout_s": 6, "memory_mb": 284,
  "processor_share": 0.4, "link_megabits": 1000
}`

// TestSettings guards against a host that starts with invalid settings, and against
// an error that does not name the field.
func TestSettings(t *testing.T) {
	settings, err := ParseSettings([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := settings.StopTimeout, 6*time.Second; got != want {
		t.Errorf("got stop timeout %v, want %v", got, want)
	}
	tests := []struct {
		name, old, new, want string
	}{
		{name: "no host", old: `"host": "h1"`, new: `"host": ""`, want: "host: empty"},
		{name: "no data centre", old: `"dc1"`, new: `""`, want: "data_centre"},
		{name: "host name instead of an IP address", old: `"127.0.0.1:4"`, new: `"store:4"`, want: "store_address"},
		{name: "no client address", old: `"127.0.0.1:1"`, new: `""`, want: "client_address"},
		{name: "no stop timeout", old: `"stop_timeout_s": 6`, new: `"stop_timeout_s": 0`, want: "stop_timeout_s"},
		{name: "endless stop timeout", old: `"stop_timeout_s": 6`, new: `"stop_timeout_s": 1e300`, want: "stop_timeout_s"},
		{name: "stop timeout below a nanosecond", old: `"stop_timeout_s": 6`, new: `"stop_timeout_s": 1e-12`, want: "stop_timeout_s"},
		{name: "negative CPU share", old: `0.4`, new: `-1`, want: "processor_share"},
		{name: "negative link", old: `1000`, new: `-1000`, want: "link_megabits"},
		{name: "unknown balance mode", old: `"memory_mb"`, new: `"balance": "maybe", "memory_mb"`, want: "balance"},
		{name: "negative memory", old: `284`, new: `-284`, want: "memory_mb"},
		{name: "share above that of the heap", old: `"memory_mb"`, new: `"client_memory_share": 0.7, "memory_mb"`, want: "client_memory_share"},
		{name: "connection below a message", old: `"memory_mb"`, new: `"connection_memory_mb": 1, "memory_mb"`, want: "connection_memory_mb"},
		{name: "negative clients", old: `"memory_mb"`, new: `"max_clients": -1, "memory_mb"`, want: "max_clients"},
		{name: "idle time too short", old: `"memory_mb"`, new: `"idle_when_short_s": 0.1, "memory_mb"`, want: "idle_when_short_s"},
		{name: "none left for clients", old: `"memory_mb"`, new: `"max_descriptors": 4300, "database_descriptors": 4100, "memory_mb"`, want: "database_descriptors"},
		{name: "negative peers", old: `"memory_mb"`, new: `"max_peers": -1, "memory_mb"`, want: "max_peers"},
		{name: "negative HTTP", old: `"memory_mb"`, new: `"max_http_connections": -1, "memory_mb"`, want: "max_http_connections"},
		{name: "first request too small", old: `"memory_mb"`, new: `"max_first_request_bytes": 1, "memory_mb"`, want: "max_first_request_bytes"},
		{name: "first request too slow", old: `"memory_mb"`, new: `"first_request_timeout_s": 3601, "memory_mb"`, want: "first_request_timeout_s"},
		{name: "startup timeout too short", old: `"memory_mb"`, new: `"startup_timeout_s": 0.5, "memory_mb"`, want: "startup_timeout_s"},
		{name: "message timeout too long", old: `"memory_mb"`, new: `"message_timeout_s": 1e9, "memory_mb"`, want: "message_timeout_s"},
		{name: "negative write timeout", old: `"memory_mb"`, new: `"write_timeout_s": -5, "memory_mb"`, want: "write_timeout_s"},
		{name: "HTTP timeout too short", old: `"memory_mb"`, new: `"http_timeout_s": 0.001, "memory_mb"`, want: "http_timeout_s"},
		{name: "HTTP header too large", old: `"memory_mb"`, new: `"max_http_header_bytes": 99999999, "memory_mb"`, want: "max_http_header_bytes"},
		{name: "no object", old: validSettings, new: `null`, want: "want an object"},
		{name: "text after the object", old: validSettings, new: validSettings + "}", want: "line 6: invalid character"},
		{name: "not JSON", old: `{`, new: `host: `, want: "invalid"},
		{name: "wrong type", old: `"memory_mb": 284`, new: `"memory_mb": "much"`, want: "memory_mb"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseSettings([]byte(strings.Replace(validSettings, test.old, test.new, 1)))
			if !errors.Is(err, ErrInvalidSettings) || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want %v with %q", err, ErrInvalidSettings, test.want)
			}
		})
	}
	limited := strings.Replace(validSettings, `"memory_mb"`, `"max_descriptors": 4300, "client_memory_share": 0.2, "connection_memory_mb": 8,
		"file_descriptors": 300, "max_clients": 1000, "max_connections_per_address": 9, "max_connections_per_customer": 7,
		"database_descriptors": 600, "max_peers": 500, "max_http_connections": 30, "first_request_timeout_s": 20,
		"max_first_request_bytes": 262144, "startup_timeout_s": 6, "message_timeout_s": 16, "write_timeout_s": 7,
		"http_timeout_s": 8, "max_http_header_bytes": 16384, "idle_when_short_s": 90, "memory_mb"`, 1)
	settings, err = ParseSettings([]byte(limited))
	want := budgeter.Options{
		MemoryShare: 0.2, ConnectionMegabytes: 8, FileDescriptors: 300, MaxClients: 1000, PerAddress: 9, PerCustomer: 7,
		IdleWhenShort: 90 * time.Second, DatabaseDescriptors: 600, MaxPeers: 500, MaxHTTP: 30,
		FirstRequestTimeout: 20 * time.Second, MaxFirstRequest: 256 << 10,
	}
	timeouts := []time.Duration{settings.StartupTimeout, settings.MessageTimeout, settings.WriteTimeout, settings.HTTPTimeout}
	if want := []time.Duration{6 * time.Second, 16 * time.Second, 7 * time.Second, 8 * time.Second}; !slices.Equal(timeouts, want) {
		t.Errorf("timeouts: got %v, want %v", timeouts, want)
	}
	if got, want := settings.MaxHTTPHeader, 16<<10; got != want {
		t.Errorf("header: got %d bytes, want %d", got, want)
	}
	if err != nil || settings.ClientLimits != want {
		t.Errorf("limits of clients: got %+v, %v, want %+v", settings.ClientLimits, err, want)
	}
	if _, err := ReadSettings("does/not/exist"); !errors.Is(err, ErrInvalidSettings) {
		t.Errorf("got %v, want %v", err, ErrInvalidSettings)
	}
}

// TestUsageSettings guards against a host that counts requests in windows of another length
// than required, or that counts them where no reports are required.
func TestUsageSettings(t *testing.T) {
	none := Settings{UsageTolerance: 0.05, DutyGap: 3 * time.Second}
	tests := []struct {
		name, fields string
		want         Settings
		violation    string
	}{
		{name: "no reports", want: none},
		{name: "empty address", fields: `"usage_address": "", "usage_window_s": 0`, want: none},
		{
			name: "all", fields: `"usage_address": "127.0.0.1:6", "usage_window_s": 5, "usage_due_s": 10, "usage_tolerance": 0.1, "duty_gap_ms": 2000`,
			want: Settings{UsageAddress: "127.0.0.1:6", UsageWindow: 5 * time.Second, UsageDue: 10 * time.Second, UsageTolerance: 0.1, DutyGap: 2 * time.Second},
		},
		{
			name: "defaults", fields: `"usage_address": "127.0.0.1:6", "usage_window_s": 5, "usage_due_s": 10`,
			want: Settings{UsageAddress: "127.0.0.1:6", UsageWindow: 5 * time.Second, UsageDue: 10 * time.Second, UsageTolerance: 0.05, DutyGap: 3 * time.Second},
		},
		{name: "no IP address", fields: `"usage_address": "usage:6", "usage_window_s": 5, "usage_due_s": 10`, violation: "usage_address"},
		{name: "no window", fields: `"usage_address": "127.0.0.1:6", "usage_due_s": 10`, violation: "usage_window_s: missing"},
		{name: "short window", fields: `"usage_address": "127.0.0.1:6", "usage_window_s": 0.01, "usage_due_s": 10`, violation: "usage_window_s"},
		{name: "no due time", fields: `"usage_address": "127.0.0.1:6", "usage_window_s": 5`, violation: "usage_due_s: missing"},
		{name: "no tolerance", fields: `"usage_tolerance": 0`, violation: "usage_tolerance"},
		{name: "no gap", fields: `"duty_gap_ms": 0`, violation: "duty_gap_ms"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fields := `"host": "h1"`
			if test.fields != "" {
				fields += ", " + test.fields
			}
			got, err := ParseSettings([]byte(strings.Replace(validSettings, `"host": "h1"`, fields, 1)))
			if test.violation != "" {
				if !errors.Is(err, ErrInvalidSettings) || !strings.Contains(err.Error(), test.violation) {
					t.Errorf("got %v, want %v with %q", err, ErrInvalidSettings, test.violation)
				}
				return
			}
			got = Settings{
				UsageAddress: got.UsageAddress, UsageWindow: got.UsageWindow, UsageDue: got.UsageDue, UsageTolerance: got.UsageTolerance, DutyGap: got.DutyGap,
			}
			if err != nil || !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %+v, %v, want %+v", got, err, test.want)
			}
		})
	}
}

// TestSettingsReportsAllViolations guards against settings that have to be corrected
// one fault at a time.
func TestSettingsReportsAllViolations(t *testing.T) {
	_, err := ParseSettings([]byte(`{
  "host": 7, "client_address": "entry:1", "readiness_address": "127.0.0.1:2", "metrics_address": "127.0.0.1",
  "store_address": null, "promotion_address": "127.0.0.1:5", "stop_timeout_s": -6, "memory_mb": 2.5, "seeds": "127.0.0.1:3"
}`))
	var invalid *ValidationError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v, want a ValidationError", err)
	}
	want := []Violation{
		{Field: "host", Reason: "got number, want a string"},
		{Field: "data_centre", Reason: "missing"},
		{Field: "client_address", Reason: `"entry:1" is not an IP address and port`},
		{Field: "peer_address", Reason: "missing"},
		{Field: "store_address", Reason: "missing"},
		{Field: "stop_timeout_s", Reason: "-6 is not positive"},
		{Field: "memory_mb", Reason: "got number 2.5, want a whole number"},
		{Field: "metrics_address", Reason: `"127.0.0.1" is not an IP address and port`},
		{Field: "seeds", Reason: "got string, want an array"},
	}
	if !slices.Equal(invalid.Violations, want) {
		t.Errorf("got  %v\nwant %v", invalid.Violations, want)
	}
}
