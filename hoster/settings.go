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
	// CPUShare is the fraction of a CPU core available to the process, 0 if
	// unknown.
	CPUShare float64
	// LinkMegabits is the bandwidth of the host's link in megabits per second, 0 if
	// unknown.
	LinkMegabits float64
}

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
		s.MaxDescriptors = processDescriptors()
	}
	return s, NewValidationError(ErrInvalidSettings, violations)
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
