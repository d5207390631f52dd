package server

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalidSettings is the cause of every error about settings.
var ErrInvalidSettings = errors.New("invalid settings")

// Defaults of settings that are left out.
const (
	DefaultStopTimeout     = 30 * time.Second
	DefaultRateWait        = 500 * time.Millisecond
	DefaultStoreTimeout    = 2 * time.Second
	DefaultIdleTransaction = 30 * time.Second
	DefaultMaxMessageBytes = 1 << 20
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// Settings are what one host is told of itself. All that the fleet shares is
// in the published configuration instead.
type Settings struct {
	// Host is the name of this host, unique in the fleet.
	Host string
	// DataCentre is the name of the data centre this host stands in.
	DataCentre string
	// CallerAddress is where callers connect, as IP address and port.
	CallerAddress string
	// PeerAddress is where other hosts connect, as IP address and port.
	PeerAddress string
	// HTTPAddress serves metrics and status; empty serves none.
	HTTPAddress string
	// StoreAddresses are those of the platform's store, at least one.
	StoreAddresses []string
	// StoreTimeout bounds one call to the store.
	StoreTimeout time.Duration
	// Seeds are peer addresses of other hosts, tried at the start.
	Seeds []string
	// HostListPrefix is the prefix of the platform's list of hosts in the
	// store; empty means that there is no list.
	HostListPrefix string
	// EndpointPassword is the password of the services' endpoint users.
	EndpointPassword string
	// AdminPassword is the password of the databases' administration user.
	AdminPassword string
	// TLSCertificate and TLSKey are files in PEM form; empty turns TLS off.
	TLSCertificate string
	TLSKey         string
	// RequireTLS refuses callers without TLS.
	RequireTLS bool
	// AllowCleartext asks callers for the secret itself instead of SCRAM.
	AllowCleartext bool
	// MaxMessageBytes bounds one batch of a caller.
	MaxMessageBytes int
	// RateWait is how long a batch waits for a token of its customer's rate.
	RateWait time.Duration
	// IdleTransactionTimeout bounds how long a caller may leave a transaction
	// open without a request.
	IdleTransactionTimeout time.Duration
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel slog.Level
}

// wireSettings is the JSON form of Settings.
type wireSettings struct {
	Host             string   `json:"host"`
	DataCentre       string   `json:"data_centre"`
	CallerAddress    string   `json:"caller_address"`
	PeerAddress      string   `json:"peer_address"`
	HTTPAddress      string   `json:"http_address"`
	StoreAddresses   []string `json:"store_addresses"`
	StoreTimeout     string   `json:"store_timeout"`
	Seeds            []string `json:"seeds"`
	HostListPrefix   string   `json:"host_list_prefix"`
	EndpointPassword string   `json:"endpoint_password"`
	AdminPassword    string   `json:"admin_password"`
	TLSCertificate   string   `json:"tls_certificate"`
	TLSKey           string   `json:"tls_key"`
	RequireTLS       bool     `json:"require_tls"`
	AllowCleartext   bool     `json:"allow_cleartext"`
	MaxMessageBytes  int      `json:"max_message_bytes"`
	RateWait         string   `json:"rate_wait"`
	IdleTransaction  string   `json:"idle_transaction_timeout"`
	StopTimeout      string   `json:"stop_timeout"`
	LogLevel         string   `json:"log_level"`
}

// ReadSettings reads and checks the settings file at the path. The error names
// the file and every wrong field, and wraps ErrInvalidSettings unless the file
// cannot be read.
func ReadSettings(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	settings, err := ParseSettings(content)
	return settings, errors.WithMessage(err, path)
}

// ParseSettings reads and checks settings in JSON form.
func ParseSettings(content []byte) (Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	var wire wireSettings
	if err := decoder.Decode(&wire); err != nil {
		return Settings{}, errors.Wrap(ErrInvalidSettings, err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Settings{}, errors.Wrap(ErrInvalidSettings, "text after the settings object")
	}
	var faults faultList
	settings := wire.settings(&faults)
	settings.check(&faults)
	return settings, faults.err()
}

// A faultList collects what is wrong with settings, so that one run names
// every fault.
type faultList []string

func (f *faultList) add(field, format string, args ...any) {
	*f = append(*f, field+": "+fmt.Sprintf(format, args...))
}

func (f *faultList) err() error {
	if len(*f) == 0 {
		return nil
	}
	return errors.Wrap(ErrInvalidSettings, strings.Join(*f, "; "))
}

func (f *faultList) duration(field, text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		f.add(field, "%q is not a duration above 0", text)
	}
	return d
}

func (w *wireSettings) settings(faults *faultList) Settings {
	s := Settings{
		Host:                   w.Host,
		DataCentre:             w.DataCentre,
		CallerAddress:          w.CallerAddress,
		PeerAddress:            w.PeerAddress,
		HTTPAddress:            w.HTTPAddress,
		StoreAddresses:         w.StoreAddresses,
		StoreTimeout:           faults.duration("store_timeout", w.StoreTimeout, DefaultStoreTimeout),
		Seeds:                  w.Seeds,
		HostListPrefix:         w.HostListPrefix,
		EndpointPassword:       w.EndpointPassword,
		AdminPassword:          w.AdminPassword,
		TLSCertificate:         w.TLSCertificate,
		TLSKey:                 w.TLSKey,
		RequireTLS:             w.RequireTLS,
		AllowCleartext:         w.AllowCleartext,
		MaxMessageBytes:        w.MaxMessageBytes,
		RateWait:               faults.duration("rate_wait", w.RateWait, DefaultRateWait),
		IdleTransactionTimeout: faults.duration("idle_transaction_timeout", w.IdleTransaction, DefaultIdleTransaction),
		StopTimeout:            faults.duration("stop_timeout", w.StopTimeout, DefaultStopTimeout),
	}
	if s.MaxMessageBytes == 0 {
		s.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if w.LogLevel != "" {
		if err := s.LogLevel.UnmarshalText([]byte(w.LogLevel)); err != nil {
			faults.add("log_level", "%q is none of debug, info, warn, error", w.LogLevel)
		}
	}
	return s
}

func (s *Settings) check(faults *faultList) {
	for _, name := range []struct{ field, value string }{{"host", s.Host}, {"data_centre", s.DataCentre}} {
		if !namePattern.MatchString(name.value) {
			faults.add(name.field, "%q is not a name", name.value)
		}
	}
	checkAddress(faults, "caller_address", s.CallerAddress)
	checkAddress(faults, "peer_address", s.PeerAddress)
	if s.HTTPAddress != "" {
		checkAddress(faults, "http_address", s.HTTPAddress)
	}
	if len(s.StoreAddresses) == 0 {
		faults.add("store_addresses", "no address")
	}
	for _, address := range s.StoreAddresses {
		checkAddress(faults, "store_addresses", address)
	}
	for _, address := range s.Seeds {
		checkAddress(faults, "seeds", address)
	}
	if slices.Contains(s.Seeds, s.PeerAddress) && len(s.Seeds) == 1 {
		faults.add("seeds", "names only this host")
	}
	if (s.TLSCertificate == "") != (s.TLSKey == "") {
		faults.add("tls_certificate", "needs tls_key, and the other way round")
	}
	if s.RequireTLS && s.TLSCertificate == "" {
		faults.add("require_tls", "needs tls_certificate")
	}
	const smallest, largest = 8 << 10, 16 << 20
	if s.MaxMessageBytes < smallest || s.MaxMessageBytes > largest {
		faults.add("max_message_bytes", "%d is not between %d and %d", s.MaxMessageBytes, smallest, largest)
	}
}

func checkAddress(faults *faultList, field, address string) {
	host, _, err := net.SplitHostPort(address)
	if err == nil {
		_, err = netip.ParseAddr(host)
	}
	if err != nil {
		faults.add(field, "%q is not an IP address and port", address)
	}
}

// TLS loads the certificate, or returns nil if TLS is off.
func (s *Settings) TLS() (*tls.Config, error) {
	if s.TLSCertificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.TLSCertificate, s.TLSKey)
	if err != nil {
		return nil, errors.Wrap(err, "load tls certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}
