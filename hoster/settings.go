// Package hoster runs one host of a fleet that keeps everything lasting in the
// platform's store. It connects the parts of the product to each other and to
// the platform's functions, and owns start, reload and stop.
package hoster

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalidSettings is the cause of every error about settings.
var ErrInvalidSettings = errors.New("invalid settings")

// Settings are what a host is told of itself.
type Settings struct {
	// Host is the name of this host, unique in the fleet.
	Host string
	// DataCentre is the name of the data centre this host stands in.
	DataCentre string
	// ClientAddress is where clients connect, as IP address and port.
	ClientAddress string
	// ReadinessAddress answers the balancer's health checks.
	ReadinessAddress string
	// PeerAddress is where other hosts connect.
	PeerAddress string
	// MetricsAddress serves metrics; empty serves none.
	MetricsAddress string
	// StoreAddress is that of the platform's store.
	StoreAddress string
	// PromotionAddress takes requests to promote a database.
	PromotionAddress string
	// Seeds are peer addresses of other hosts, tried while none is known.
	Seeds []string
	// StopTimeout is the time between the request to stop and the kill.
	StopTimeout time.Duration
	// MemoryMegabytes bounds the memory of the process.
	MemoryMegabytes int64
	// Processor is the share of a core that the process gets, 0 if not known.
	Processor float64
	// LinkMegabits is what the host's link carries in a second, 0 if not known.
	LinkMegabits float64
}

// wireSettings is the JSON form of Settings.
type wireSettings struct {
	Host             string   `json:"host"`
	DataCentre       string   `json:"data_centre"`
	ClientAddress    string   `json:"client_address"`
	ReadinessAddress string   `json:"readiness_address"`
	PeerAddress      string   `json:"peer_address"`
	MetricsAddress   string   `json:"metrics_address"`
	StoreAddress     string   `json:"store_address"`
	PromotionAddress string   `json:"promotion_address"`
	Seeds            []string `json:"seeds"`
	StopTimeout      float64  `json:"stop_timeout_s"`
	Memory           int64    `json:"memory_mb"`
	Processor        float64  `json:"processor_share"`
	Link             float64  `json:"link_megabits"`
}

// ReadSettings reads and checks a settings file. Errors wrap
// ErrInvalidSettings.
func ReadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(ErrInvalidSettings, err.Error())
	}
	settings, err := ParseSettings(data)
	return settings, errors.Wrap(err, path)
}

// ParseSettings reads and checks the content of a settings file.
func ParseSettings(data []byte) (Settings, error) {
	var wire wireSettings
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(&wire); err != nil {
		return Settings{}, errors.Wrap(ErrInvalidSettings, err.Error())
	}
	s := Settings{
		Host: wire.Host, DataCentre: wire.DataCentre, ClientAddress: wire.ClientAddress,
		ReadinessAddress: wire.ReadinessAddress, PeerAddress: wire.PeerAddress, MetricsAddress: wire.MetricsAddress,
		StoreAddress: wire.StoreAddress, PromotionAddress: wire.PromotionAddress, Seeds: wire.Seeds,
		StopTimeout:     time.Duration(wire.StopTimeout * float64(time.Second)),
		MemoryMegabytes: wire.Memory, Processor: wire.Processor, LinkMegabits: wire.Link,
	}
	return s, s.check()
}

func (s Settings) check() error {
	if s.Host == "" {
		return errors.Wrap(ErrInvalidSettings, "host is empty")
	}
	if s.DataCentre == "" {
		return errors.Wrap(ErrInvalidSettings, "data_centre is empty")
	}
	addresses := []struct {
		field, address string
		optional       bool
	}{
		{field: "client_address", address: s.ClientAddress},
		{field: "readiness_address", address: s.ReadinessAddress},
		{field: "peer_address", address: s.PeerAddress},
		{field: "metrics_address", address: s.MetricsAddress, optional: true},
		{field: "store_address", address: s.StoreAddress},
		{field: "promotion_address", address: s.PromotionAddress},
	}
	for _, a := range addresses {
		if a.address == "" && a.optional {
			continue
		}
		if _, err := netip.ParseAddrPort(a.address); err != nil {
			return errors.Wrapf(ErrInvalidSettings, "%s: %v", a.field, err)
		}
	}
	if s.StopTimeout <= 0 {
		return errors.Wrap(ErrInvalidSettings, "stop_timeout_s is not positive")
	}
	if s.Processor < 0 {
		return errors.Wrap(ErrInvalidSettings, "processor_share is negative")
	}
	if s.LinkMegabits < 0 {
		return errors.Wrap(ErrInvalidSettings, "link_megabits is negative")
	}
	return nil
}

// capacity orders hosts by what they can carry for others beside their clients.
func (s Settings) capacity() int64 { return int64(s.Processor * s.LinkMegabits * 1000) }
