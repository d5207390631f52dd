// Package hoster runs one host of a fleet that keeps all persistent state in the
// platform's store. It connects the components of the product to each other and to
// the functions of the platform, and implements start, reload and stop.
package hoster

import (
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/director"
)

// ErrInvalidSettings is wrapped by every error about settings.
var ErrInvalidSettings = errors.New("invalid settings")

// Settings configure one host.
type Settings struct {
	// Host is the name of this host, unique in the fleet.
	Host string
	// DataCentre is the name of the data centre that this host runs in.
	DataCentre string
	// ClientAddress is the IP address and port that clients connect to.
	ClientAddress string
	// ReadinessAddress serves the load balancer's health checks.
	ReadinessAddress string
	// PeerAddress is the address that other hosts connect to.
	PeerAddress string
	// MetricsAddress serves metrics. If it is empty, metrics are not served.
	MetricsAddress string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// PromotionAddress is the address of the platform's service that promotes
	// databases.
	PromotionAddress string
	// Seeds are peer addresses of other hosts, contacted while no host is known.
	Seeds []string
	// StopTimeout is the time between the request to stop and the kill.
	StopTimeout time.Duration
	// MemoryMegabytes bounds the memory of the process.
	MemoryMegabytes int64
	// MaxDescriptors is the number of file descriptors that the process may have. If the
	// settings have none, it is the limit of the process.
	MaxDescriptors int
	// ClientLimits are the limits of what clients can cause the process to use.
	ClientLimits budgeter.Options
	// StartupTimeout, MessageTimeout and WriteTimeout bound the steps of a connection that
	// wait for a client: the startup, the rest of a message, and a write. HTTPTimeout
	// bounds a request to the HTTP addresses and its response, and MaxHTTPHeader the size
	// of its header in bytes. 0 means the default of each.
	StartupTimeout, MessageTimeout, WriteTimeout, HTTPTimeout time.Duration
	MaxHTTPHeader                                             int
	// CPUShare is the fraction of a CPU core available to the process, 0 if
	// unknown.
	CPUShare float64
	// LinkMegabits is the bandwidth of the host's link in megabits per second, 0 if
	// unknown.
	LinkMegabits float64
	// UsageAddress is the address that receives usage reports. If it is empty, requests are
	// not counted.
	UsageAddress string
	// UsageWindow is the length of the windows that are reported, and UsageDue the time
	// after the end of a window by which its report is due.
	UsageWindow time.Duration
	UsageDue    time.Duration
	// UsageTolerance is the largest relative error of a customer's count that is still
	// correct.
	UsageTolerance float64
	// DutyGap is the time after a change of leader in which the next one sends no report.
	DutyGap time.Duration
	// Balance determines whether the host uses admission by value and load balancing
	// by outcomes.
	Balance director.BalanceMode
}

const (
	// defaultUsageTolerance and defaultDutyGap apply where the settings give no others.
	defaultUsageTolerance = 0.05
	defaultDutyGap        = 3 * time.Second
	// minUsageWindow bounds the work of the leader, which writes to the store once a window.
	minUsageWindow = time.Second
)

// balanceModes are the values of the setting balance.
var balanceModes = map[string]director.BalanceMode{"auto": director.BalanceAuto, "on": director.BalanceOn, "off": director.BalanceOff}

// ReadSettings reads and validates a settings file. Errors wrap ErrInvalidSettings.
func ReadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(ErrInvalidSettings, err.Error())
	}
	settings, err := ParseSettings(data)
	return settings, errors.Wrap(err, path)
}

// ParseSettings parses and validates the content of a settings file. The error is a
// ValidationError with all violations.
func ParseSettings(data []byte) (Settings, error) {
	var violations []Violation
	d := NewObjectDecoder(data, &violations)
	s := Settings{
		Host: d.Text("host"), DataCentre: d.Text("data_centre"),
		ClientAddress: decodeAddress(d, "client_address"), ReadinessAddress: decodeAddress(d, "readiness_address"),
		PeerAddress: decodeAddress(d, "peer_address"), StoreAddress: decodeAddress(d, "store_address"),
		PromotionAddress: decodeAddress(d, "promotion_address"),
		StopTimeout:      decodeSeconds(d, "stop_timeout_s"),
		MemoryMegabytes:  NonNegative[int64](d, "memory_mb"),
		MaxDescriptors:   NonNegative[int](d, "max_descriptors"),
		CPUShare:         NonNegative[float64](d, "processor_share"),
		LinkMegabits:     NonNegative[float64](d, "link_megabits"),
	}
	if d.Optional("metrics_address", &s.MetricsAddress) && s.MetricsAddress != "" {
		checkAddress(d, "metrics_address", s.MetricsAddress)
	}
	d.Optional("seeds", &s.Seeds)
	if s.MaxDescriptors == 0 {
		s.MaxDescriptors = budgeter.ProcessDescriptors()
	}
	s.ClientLimits = decodeClientLimits(d)
	s.ClientLimits.Validate(s.MemoryMegabytes<<20, s.MaxDescriptors, d.Reject)
	s.decodeTimeouts(d)
	s.Balance = decodeBalance(d)
	s.decodeUsage(d)
	return s, NewValidationError(ErrInvalidSettings, violations)
}

// decodeClientLimits decodes the optional limits of what clients can cause the process to
// use; 0 means the default.
func decodeClientLimits(d *ObjectDecoder) budgeter.Options {
	var o budgeter.Options
	d.Optional("client_memory_share", &o.MemoryShare)
	d.Optional("connection_memory_mb", &o.ConnectionMegabytes)
	d.Optional("file_descriptors", &o.FileDescriptors)
	d.Optional("max_clients", &o.MaxClients)
	d.Optional("max_connections_per_address", &o.PerAddress)
	d.Optional("max_connections_per_customer", &o.PerCustomer)
	d.Optional("database_descriptors", &o.DatabaseDescriptors)
	d.Optional("max_peers", &o.MaxPeers)
	d.Optional("max_http_connections", &o.MaxHTTP)
	d.Optional("max_first_request_bytes", &o.MaxFirstRequest)
	o.FirstRequestTimeout = decodeOptionalSeconds(d, "first_request_timeout_s", budgeter.MinTimeout, budgeter.MaxTimeout)
	o.IdleWhenShort = decodeOptionalSeconds(d, "idle_when_short_s", budgeter.MinIdleWhenShort, budgeter.MaxIdleWhenShort)
	return o
}

// decodeTimeouts decodes the optional limits of steps that wait for a client; 0 means the
// default.
func (s *Settings) decodeTimeouts(d *ObjectDecoder) {
	timeout := func(field string) time.Duration {
		return decodeOptionalSeconds(d, field, budgeter.MinTimeout, budgeter.MaxTimeout)
	}
	s.StartupTimeout, s.MessageTimeout = timeout("startup_timeout_s"), timeout("message_timeout_s")
	s.WriteTimeout, s.HTTPTimeout = timeout("write_timeout_s"), timeout("http_timeout_s")
	if d.Optional("max_http_header_bytes", &s.MaxHTTPHeader) && s.MaxHTTPHeader != 0 &&
		(s.MaxHTTPHeader < budgeter.MinHTTPHeader || s.MaxHTTPHeader > budgeter.MaxHTTPHeader) {
		d.Reject("max_http_header_bytes", "%d is not between %d and %d", s.MaxHTTPHeader, budgeter.MinHTTPHeader, budgeter.MaxHTTPHeader)
	}
}

// decodeOptionalSeconds returns an optional duration that is given in seconds, 0 if there
// is none or if it is not within its bounds.
func decodeOptionalSeconds(d *ObjectDecoder, field string, least, most time.Duration) time.Duration {
	var seconds float64
	if !d.Optional(field, &seconds) || seconds == 0 {
		return 0
	}
	if seconds < least.Seconds() || seconds > most.Seconds() {
		d.Reject(field, "%v is not between %v and %v", seconds, least.Seconds(), most.Seconds())
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// decodeUsage decodes the settings of usage reports. The window and the time until a report
// is due are required where there is an address.
func (s *Settings) decodeUsage(d *ObjectDecoder) {
	s.UsageTolerance, s.DutyGap = defaultUsageTolerance, defaultDutyGap
	if d.Optional("usage_tolerance", &s.UsageTolerance) && (s.UsageTolerance <= 0 || s.UsageTolerance > 1) {
		d.Reject("usage_tolerance", "%v is not above 0 and at most 1", s.UsageTolerance)
	}
	gap := float64(defaultDutyGap.Milliseconds())
	if d.Optional("duty_gap_ms", &gap) && (gap <= 0 || gap > float64(time.Hour.Milliseconds())) {
		d.Reject("duty_gap_ms", "%v is not above 0 and at most an hour", gap)
	}
	s.DutyGap = time.Duration(gap * float64(time.Millisecond))
	if !d.Optional("usage_address", &s.UsageAddress) || s.UsageAddress == "" {
		return
	}
	checkAddress(d, "usage_address", s.UsageAddress)
	s.UsageWindow, s.UsageDue = decodeSeconds(d, "usage_window_s"), decodeSeconds(d, "usage_due_s")
	if s.UsageWindow > 0 && s.UsageWindow < minUsageWindow {
		d.Reject("usage_window_s", "%v is less than %v", s.UsageWindow, minUsageWindow)
	}
}

// decodeBalance returns the optional mode of balancing.
func decodeBalance(d *ObjectDecoder) director.BalanceMode {
	name := "auto"
	d.Optional("balance", &name)
	mode, ok := balanceModes[name]
	if !ok {
		d.Reject("balance", "%q is not auto, on or off", name)
	}
	return mode
}

// decodeSeconds returns a required positive duration that is given in seconds.
func decodeSeconds(d *ObjectDecoder, field string) time.Duration {
	seconds := Positive[float64](d, field)
	duration := time.Duration(seconds * float64(time.Second))
	if seconds > 0 && (duration <= 0 || seconds >= math.MaxInt64/float64(time.Second)) {
		d.Reject(field, "%v seconds are out of range", seconds)
	}
	return duration
}

// decodeAddress returns a required address.
func decodeAddress(d *ObjectDecoder, field string) string {
	var address string
	if d.Required(field, &address) {
		checkAddress(d, field, address)
	}
	return address
}

// checkAddress rejects a field that is not an IP address and port.
func checkAddress(d *ObjectDecoder, field, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		d.Reject(field, "%q is not an IP address and port", address)
	}
}

// capacity ranks hosts by how much work for the rest of the fleet they can handle
// besides their own clients.
func (s Settings) capacity() int64 { return int64(s.CPUShare * s.LinkMegabits * 1000) }
