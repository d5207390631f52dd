package budgeter

import (
	"slices"
	"testing"
	"time"
)

// TestOptions guards against settings that are accepted although they leave no
// descriptors or memory for the rest of the process, and against ones without effect.
func TestOptions(t *testing.T) {
	const memory, descriptors = 184 << 20, 4300
	tests := []struct {
		name    string
		options Options
		want    []string
	}{
		{name: "none"},
		{name: "valid", options: Options{
			MemoryShare: 0.2, ConnectionMegabytes: 8, FileDescriptors: 300, MaxClients: 1000, PerAddress: 10, PerCustomer: 20,
			IdleWhenShort: time.Hour, DatabaseDescriptors: 600, MaxPeers: 500, MaxHTTP: 30,
			FirstRequestTimeout: time.Minute, MaxFirstRequest: 1 << 20,
		}},
		{name: "more than the heap", options: Options{MemoryShare: 0.61}, want: []string{"client_memory_share"}},
		{name: "less than a message", options: Options{ConnectionMegabytes: 3}, want: []string{"connection_memory_mb"}},
		{name: "more than the machine", options: Options{ConnectionMegabytes: 185}, want: []string{"connection_memory_mb"}},
		{name: "all files", options: Options{FileDescriptors: descriptors}, want: []string{"file_descriptors"}},
		{name: "too many clients", options: Options{MaxClients: 4000}, want: []string{"max_clients"}},
		{name: "negative databases", options: Options{DatabaseDescriptors: -1}, want: []string{"database_descriptors"}},
		{name: "negative peers", options: Options{MaxPeers: -1}, want: []string{"max_peers"}},
		{name: "negative HTTP", options: Options{MaxHTTP: -1}, want: []string{"max_http_connections"}},
		{name: "none left for clients", options: Options{DatabaseDescriptors: 2000, MaxPeers: 2090}, want: []string{"database_descriptors"}},
		{name: "first request too small", options: Options{MaxFirstRequest: 1 << 10}, want: []string{"max_first_request_bytes"}},
		{name: "first request too large", options: Options{MaxFirstRequest: 1 << 30}, want: []string{"max_first_request_bytes"}},
		{
			name: "negative", options: Options{MaxClients: -1, PerAddress: -1, PerCustomer: -1},
			want: []string{"max_clients", "max_connections_per_address", "max_connections_per_customer"},
		},
	}
	for _, test := range tests {
		var got []string
		test.options.Validate(memory, descriptors, func(setting, _ string, _ ...any) { got = append(got, setting) })
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: rejected %q, want %q", test.name, got, test.want)
		}
	}
	got := tests[1].options.Plan(memory, descriptors)
	want := Limits{
		Memory: memory / 5, ConnectionMemory: 8 << 20, ConnectionCost: ConnectionCost, PerAddress: 10, PerCustomer: 20,
		IdleWhenShort: time.Hour, Connections: [classes]int{Clients: 1000, Peers: 500, HTTP: 30},
		FirstRequestTimeout: time.Minute, MaxFirstRequest: 1 << 20,
	}
	if got != want {
		t.Errorf("limits: got %+v, want %+v", got, want)
	}
}

// TestTotalMemory guards against a size of the machine that is read wrongly.
func TestTotalMemory(t *testing.T) {
	tests := []struct {
		content string
		want    int64
	}{
		{content: "MemTotal:       32768 kB\nMemFree:  100 kB\n", want: 32 << 20},
		{content: "MemFree:  100 kB\nMemTotal: 1 kB\n", want: 1 << 10},
		{content: "MemTotal: many kB\n"},
		{content: "MemTotal: -1 kB\n"},
		{content: ""},
	}
	for _, test := range tests {
		if got := totalMemory([]byte(test.content)); got != test.want {
			t.Errorf("%q: got %d, want %d", test.content, got, test.want)
		}
	}
}
