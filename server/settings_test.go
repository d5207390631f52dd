package server

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

const validSettings = `{"host": "h1", "data_centre": "dc1", "caller_address": "127.0.0.1:6432",
	"peer_address": "127.0.0.1:7001", "store_addresses": ["127.0.0.1:2379"]`

// TestParseSettings guards against invalid settings that are accepted, and against
// errors that do not name the invalid field.
func TestParseSettings(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"valid", validSettings + `}`, nil},
		{"valid with optional fields", validSettings + `, "stop_timeout": "3s", "log_level": "debug", "seeds": ["127.0.0.1:7002"]}`, nil},
		{"empty object", `{}`, []string{"host:", "data_centre:", "caller_address:", "peer_address:", "store_addresses:"}},
		{"unknown field", validSettings + `, "hots": "x"}`, []string{"hots"}},
		{"not json", `host = h1`, []string{"invalid settings"}},
		{"two objects", validSettings + `}{}`, []string{"after the settings"}},
		{"negative duration", validSettings + `, "rate_wait": "-1s"}`, []string{"rate_wait:"}},
		{"duration without unit", validSettings + `, "stop_timeout": "5"}`, []string{"stop_timeout:"}},
		{"host name instead of ip", validSettings + `, "http_address": "localhost:80"}`, []string{"http_address:"}},
		{"only this host as seed", validSettings + `, "seeds": ["127.0.0.1:7001"]}`, []string{"seeds:"}},
		{"key without certificate", validSettings + `, "tls_key": "k.pem"}`, []string{"tls_certificate:"}},
		{"tls required without certificate", validSettings + `, "require_tls": true}`, []string{"require_tls:"}},
		{"message limit too large", validSettings + `, "max_message_bytes": 99999999}`, []string{"max_message_bytes:"}},
		{"limits of clients", validSettings + `, "memory_mb": 184, "max_descriptors": 4300, "client_memory_share": 0.2, "connection_memory_mb": 8,
			"file_descriptors": 300, "max_clients": 1000, "max_connections_per_address": 9, "max_connections_per_customer": 9,
			"idle_when_short": "5m", "startup_timeout": "5s", "message_timeout": "20s", "write_timeout": "30s"}`, nil},
		{"limits of peers and HTTP", validSettings + `, "max_descriptors": 4300, "database_descriptors": 600, "max_peers": 500,
			"max_http_connections": 30, "first_request_timeout": "20s", "max_first_request_bytes": 262144, "http_timeout": "10s",
			"max_http_header_bytes": 16384}`, nil},
		{"none left for clients", validSettings + `, "max_descriptors": 4300, "database_descriptors": 4100}`, []string{"database_descriptors:"}},
		{"negative peers", validSettings + `, "max_peers": -1}`, []string{"max_peers:"}},
		{"negative HTTP", validSettings + `, "max_http_connections": -1}`, []string{"max_http_connections:"}},
		{"first request too small", validSettings + `, "max_first_request_bytes": 1}`, []string{"max_first_request_bytes:"}},
		{"first request too slow", validSettings + `, "first_request_timeout": "2h"}`, []string{"first_request_timeout:"}},
		{"HTTP timeout too short", validSettings + `, "http_timeout": "1ms"}`, []string{"http_timeout:"}},
		{"HTTP header too large", validSettings + `, "max_http_header_bytes": 99999999}`, []string{"max_http_header_bytes:"}},
		{"memory negative", validSettings + `, "memory_mb": -1}`, []string{"memory_mb:"}},
		{"descriptors negative", validSettings + `, "max_descriptors": -1}`, []string{"max_descriptors:"}},
		{"memory below that of a message", validSettings + `, "memory_mb": 64, "max_message_bytes": 16777216}`, []string{"memory_mb:"}},
		{"connection below a message", validSettings + `, "connection_memory_mb": 8, "max_message_bytes": 16777216}`, []string{"connection_memory_mb:"}},
		{"share above that of the heap", validSettings + `, "client_memory_share": 0.7}`, []string{"client_memory_share:"}},
		{"idle time too short", validSettings + `, "idle_when_short": "1ms"}`, []string{"idle_when_short:"}},
		{"message timeout", validSettings + `, "message_timeout": "0s"}`, []string{"message_timeout:"}},
		{"unknown level", validSettings + `, "log_level": "loud"}`, []string{"log_level:"}},
	}
	for _, test := range tests {
		_, err := ParseSettings([]byte(test.text))
		if got, want := errors.Is(err, ErrInvalidSettings), len(test.want) > 0; got != want {
			t.Errorf("%s: got error %v, want one: %v", test.name, err, want)
			continue
		}
		for _, part := range test.want {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%s: got error %q, want one that contains %q", test.name, err, part)
			}
		}
	}
	settings, err := ParseSettings([]byte(tests[1].text))
	if err != nil || settings.StopTimeout != 3*time.Second || settings.RateWait != DefaultRateWait {
		t.Errorf("settings: got %+v, %v, want stop timeout 3s and the default rate wait", settings, err)
	}
}
