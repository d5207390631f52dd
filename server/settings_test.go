package server

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

const validSettings = `{"host": "h1", "data_centre": "dc1", "caller_address": "127.0.0.1:6432",
	"peer_address": "127.0.0.1:7001", "store_addresses": ["127.0.0.1:2379"]`

// Guards against settings that are taken over although they are wrong, and
// against errors that do not name the field.
func TestParseSettings(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"valid", validSettings + `}`, nil},
		{"valid with more", validSettings + `, "stop_timeout": "3s", "log_level": "debug", "seeds": ["127.0.0.1:7002"]}`, nil},
		{"empty object", `{}`, []string{"host:", "data_centre:", "caller_address:", "peer_address:", "store_addresses:"}},
		{"unknown field", validSettings + `, "hots": "x"}`, []string{"hots"}},
		{"not json", `host = h1`, []string{"invalid settings"}},
		{"two objects", validSettings + `}{}`, []string{"after the settings"}},
		{"negative duration", validSettings + `, "rate_wait": "-1s"}`, []string{"rate_wait:"}},
		{"duration without unit", validSettings + `, "stop_timeout": "5"}`, []string{"stop_timeout:"}},
		{"host name instead of ip", validSettings + `, "http_address": "localhost:80"}`, []string{"http_address:"}},
		{"only itself as seed", validSettings + `, "seeds": ["127.0.0.1:7001"]}`, []string{"seeds:"}},
		{"key without certificate", validSettings + `, "tls_key": "k.pem"}`, []string{"tls_certificate:"}},
		{"tls required without certificate", validSettings + `, "require_tls": true}`, []string{"require_tls:"}},
		{"huge messages", validSettings + `, "max_message_bytes": 99999999}`, []string{"max_message_bytes:"}},
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
				t.Errorf("%s: got %q, want %q in it", test.name, err, part)
			}
		}
	}
	settings, err := ParseSettings([]byte(tests[1].text))
	if err != nil || settings.StopTimeout != 3*time.Second || settings.RateWait != DefaultRateWait {
		t.Errorf("settings: got %+v, %v, want the given and the default durations", settings, err)
	}
}
