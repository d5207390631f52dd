package server

import (
	"bytes"
	"cmp"
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

	"github.com/endiveturn/endiveturn/acceptor"
	"github.com/endiveturn/endiveturn/budgeter"
)

// ErrInvalidSettings is the cause of all errors that concern the content of the
// settings.
var ErrInvalidSettings = errors.New("invalid settings")

// Default values of optional settings.
const (
	DefaultStopTimeout            = 30 * time.Second
	DefaultRateWait               = 500 * time.Millisecond
	DefaultStoreTimeout           = 2 * time.Second
	DefaultIdleTransactionTimeout = 30 * time.Second
	DefaultMaxMessageBytes        = 1 << 20
)

// maxMemoryMegabytes is the greatest valid memory of a process.
const maxMemoryMegabytes = 1 << 24

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// Settings holds the settings of a single host. What all hosts share is part of
// the published configuration instead.
type Settings struct {
	// Host is the name of this host, unique in the fleet.
	Host string
	// DataCentre is the name of the data centre in which this host runs.
	DataCentre string
	// ClientAddress is the IP address and port for client connections.
	ClientAddress string
	// PeerAddress is the IP address and port for connections of other hosts.
	PeerAddress string
	// HTTPAddress is the IP address and port for HTTP requests for metrics and
	// status; if empty, they are not served over HTTP.
	HTTPAddress string
	// StoreAddresses holds the addresses of the platform's store, at least one.
	StoreAddresses []string
	// StoreTimeout bounds a call to the store.
	StoreTimeout time.Duration
	// Seeds holds peer addresses of other hosts, which are contacted at startup.
	Seeds []string
	// HostListPrefix is the key prefix of the platform's host list in the store;
	// empty means that there is no host list.
	HostListPrefix string
	// EndpointPassword is the password of the services' endpoint users.
	EndpointPassword string
	// AdminPassword is the password of the administration user of the databases.
	AdminPassword string
	// TLSCertificate and TLSKey are the paths of PEM files; if empty, TLS is
	// disabled.
	TLSCertificate string
	TLSKey         string
	// RequireTLS refuses client connections without TLS.
	RequireTLS bool
	// AllowCleartext requests cleartext password authentication instead of SCRAM.
	AllowCleartext bool
	// MaxMessageBytes bounds the size of a batch.
	MaxMessageBytes int
	// RateWait bounds how long a batch waits for a token of its customer's rate
	// limit.
	RateWait time.Duration
	// IdleTransactionTimeout bounds the time between two requests of an open
	// transaction.
	IdleTransactionTimeout time.Duration
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration
	// MemoryMegabytes is the memory of the process, of which connections may take a part.
	MemoryMegabytes int64
	// MaxDescriptors is the number of file descriptors that the process may have; 0
	// means that it is unknown, and that connections are not limited in number.
	MaxDescriptors int
	// ClientLimits are the limits of what clients can cause the process to use.
	ClientLimits budgeter.Options
	// StartupTimeout, MessageTimeout and WriteTimeout bound the startup of a client
	// connection, the rest of a batch that has begun, to which a second is added for each
	// 8 KB that arrive, and a write to a client that does not read.
	StartupTimeout, MessageTimeout, WriteTimeout time.Duration
	// HTTPTimeout bounds a request to the HTTP address and its response, and MaxHTTPHeader
	// the size of its header in bytes.
	HTTPTimeout   time.Duration
	MaxHTTPHeader int
	// LogLevel is the minimum level of log lines: debug, info, warn or error.
	LogLevel slog.Level
}

// settingsJSON is the JSON form of Settings.
type settingsJSON struct {
	Host             string   `json:"host"`
	DataCentre       string   `json:"data_centre"`
	ClientAddress    string   `json:"caller_address"`
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
	MemoryMegabytes  int64    `json:"memory_mb"`
	MaxDescriptors   int      `json:"max_descriptors"`
	MemoryShare      float64  `json:"client_memory_share"`
	ConnectionMemory int64    `json:"connection_memory_mb"`
	FileDescriptors  int      `json:"file_descriptors"`
	MaxClients       int      `json:"max_clients"`
	PerAddress       int      `json:"max_connections_per_address"`
	PerCustomer      int      `json:"max_connections_per_customer"`
	IdleWhenShort    string   `json:"idle_when_short"`
	StartupTimeout   string   `json:"startup_timeout"`
	MessageTimeout   string   `json:"message_timeout"`
	WriteTimeout     string   `json:"write_timeout"`
	FirstTimeout     string   `json:"first_request_timeout"`
	MaxFirstRequest  int64    `json:"max_first_request_bytes"`
	Databases        int      `json:"database_descriptors"`
	MaxPeers         int      `json:"max_peers"`
	MaxHTTP          int      `json:"max_http_connections"`
	HTTPTimeout      string   `json:"http_timeout"`
	MaxHTTPHeader    int      `json:"max_http_header_bytes"`
	LogLevel         string   `json:"log_level"`
}

// ReadSettings reads and validates the settings file at path. The error names the
// file and all invalid fields, and wraps ErrInvalidSettings unless the file could
// not be read.
func ReadSettings(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	settings, err := ParseSettings(content)
	return settings, errors.WithMessage(err, path)
}

// ParseSettings parses and validates settings in JSON form.
func ParseSettings(content []byte) (Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	var wire settingsJSON
	if err := decoder.Decode(&wire); err != nil {
		return Settings{}, errors.Wrap(ErrInvalidSettings, err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Settings{}, errors.Wrap(ErrInvalidSettings, "unexpected text after the settings object")
	}
	var problems problemList
	settings := wire.settings(&problems)
	settings.validate(&problems)
	return settings, problems.err()
}

// A problemList collects validation errors, so that all of them are reported at
// once.
type problemList []string

func (f *problemList) add(field, format string, args ...any) {
	*f = append(*f, field+": "+fmt.Sprintf(format, args...))
}

func (f *problemList) err() error {
	if len(*f) == 0 {
		return nil
	}
	return errors.Wrap(ErrInvalidSettings, strings.Join(*f, "; "))
}

func (f *problemList) duration(field, text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		f.add(field, "%q is not a positive duration", text)
	}
	return d
}

func (w *settingsJSON) settings(problems *problemList) Settings {
	s := Settings{
		Host:                   w.Host,
		DataCentre:             w.DataCentre,
		ClientAddress:          w.ClientAddress,
		PeerAddress:            w.PeerAddress,
		HTTPAddress:            w.HTTPAddress,
		StoreAddresses:         w.StoreAddresses,
		StoreTimeout:           problems.duration("store_timeout", w.StoreTimeout, DefaultStoreTimeout),
		Seeds:                  w.Seeds,
		HostListPrefix:         w.HostListPrefix,
		EndpointPassword:       w.EndpointPassword,
		AdminPassword:          w.AdminPassword,
		TLSCertificate:         w.TLSCertificate,
		TLSKey:                 w.TLSKey,
		RequireTLS:             w.RequireTLS,
		AllowCleartext:         w.AllowCleartext,
		MaxMessageBytes:        w.MaxMessageBytes,
		RateWait:               problems.duration("rate_wait", w.RateWait, DefaultRateWait),
		IdleTransactionTimeout: problems.duration("idle_transaction_timeout", w.IdleTransaction, DefaultIdleTransactionTimeout),
		StopTimeout:            problems.duration("stop_timeout", w.StopTimeout, DefaultStopTimeout),
		StartupTimeout:         problems.duration("startup_timeout", w.StartupTimeout, acceptor.DefaultStartupTimeout),
		MessageTimeout:         problems.duration("message_timeout", w.MessageTimeout, acceptor.DefaultMessageTimeout),
		WriteTimeout:           problems.duration("write_timeout", w.WriteTimeout, acceptor.DefaultWriteTimeout),
		ClientLimits: budgeter.Options{
			MemoryShare: w.MemoryShare, ConnectionMegabytes: w.ConnectionMemory, FileDescriptors: w.FileDescriptors,
			MaxClients: w.MaxClients, PerAddress: w.PerAddress, PerCustomer: w.PerCustomer,
			IdleWhenShort:       problems.duration("idle_when_short", w.IdleWhenShort, 0),
			DatabaseDescriptors: w.Databases, MaxPeers: w.MaxPeers, MaxHTTP: w.MaxHTTP, MaxFirstRequest: w.MaxFirstRequest,
			FirstRequestTimeout: problems.duration("first_request_timeout", w.FirstTimeout, 0),
		},
		HTTPTimeout:   problems.duration("http_timeout", w.HTTPTimeout, httpTimeout),
		MaxHTTPHeader: cmp.Or(w.MaxHTTPHeader, maxHTTPHeader),
	}
	if s.MaxMessageBytes == 0 {
		s.MaxMessageBytes = DefaultMaxMessageBytes
	}
	s.MemoryMegabytes, s.MaxDescriptors = w.MemoryMegabytes, w.MaxDescriptors
	if s.MemoryMegabytes == 0 {
		s.MemoryMegabytes = budgeter.MachineMemory() >> 20
	}
	if s.MaxDescriptors == 0 {
		s.MaxDescriptors = budgeter.ProcessDescriptors()
	}
	if w.LogLevel != "" {
		if err := s.LogLevel.UnmarshalText([]byte(w.LogLevel)); err != nil {
			problems.add("log_level", "%q is not one of debug, info, warn, error", w.LogLevel)
		}
	}
	return s
}

func (s *Settings) validate(problems *problemList) {
	for _, name := range []struct{ field, value string }{{"host", s.Host}, {"data_centre", s.DataCentre}} {
		if !namePattern.MatchString(name.value) {
			problems.add(name.field, "%q is not a valid name", name.value)
		}
	}
	checkAddress(problems, "caller_address", s.ClientAddress)
	checkAddress(problems, "peer_address", s.PeerAddress)
	if s.HTTPAddress != "" {
		checkAddress(problems, "http_address", s.HTTPAddress)
	}
	if len(s.StoreAddresses) == 0 {
		problems.add("store_addresses", "at least one address is required")
	}
	for _, address := range s.StoreAddresses {
		checkAddress(problems, "store_addresses", address)
	}
	for _, address := range s.Seeds {
		checkAddress(problems, "seeds", address)
	}
	if slices.Contains(s.Seeds, s.PeerAddress) && len(s.Seeds) == 1 {
		problems.add("seeds", "must contain the address of another host")
	}
	if (s.TLSCertificate == "") != (s.TLSKey == "") {
		problems.add("tls_certificate", "must be set together with tls_key")
	}
	if s.RequireTLS && s.TLSCertificate == "" {
		problems.add("require_tls", "requires tls_certificate")
	}
	const minBytes, maxBytes = 8 << 10, 16 << 20
	if s.MaxMessageBytes < minBytes || s.MaxMessageBytes > maxBytes {
		problems.add("max_message_bytes", "%d is not between %d and %d", s.MaxMessageBytes, minBytes, maxBytes)
	}
	s.validateLimits(problems)
}

// validateLimits checks the memory and the descriptors of the process.
func (s *Settings) validateLimits(problems *problemList) {
	if s.MemoryMegabytes < 0 || s.MemoryMegabytes > maxMemoryMegabytes {
		problems.add("memory_mb", "%d is not between 0 and %d", s.MemoryMegabytes, maxMemoryMegabytes)
		return
	}
	if s.MaxDescriptors < 0 {
		problems.add("max_descriptors", "%d is negative", s.MaxDescriptors)
	}
	s.ClientLimits.Validate(s.MemoryMegabytes<<20, s.MaxDescriptors, problems.add)
	idle := s.ClientLimits.IdleWhenShort
	if idle > 0 && idle < budgeter.MinIdleWhenShort || idle > budgeter.MaxIdleWhenShort {
		problems.add("idle_when_short", "%v is not between %v and %v", idle, budgeter.MinIdleWhenShort, budgeter.MaxIdleWhenShort)
	}
	for _, timeout := range []struct {
		field string
		value time.Duration
	}{{"http_timeout", s.HTTPTimeout}, {"first_request_timeout", s.ClientLimits.FirstRequestTimeout}} {
		if timeout.value > 0 && timeout.value < budgeter.MinTimeout || timeout.value > budgeter.MaxTimeout {
			problems.add(timeout.field, "%v is not between %v and %v", timeout.value, budgeter.MinTimeout, budgeter.MaxTimeout)
		}
	}
	if s.MaxHTTPHeader < budgeter.MinHTTPHeader || s.MaxHTTPHeader > budgeter.MaxHTTPHeader {
		problems.add("max_http_header_bytes", "%d is not between %d and %d", s.MaxHTTPHeader, budgeter.MinHTTPHeader, budgeter.MaxHTTPHeader)
	}
	needed := acceptor.RequiredMemory(s.MaxMessageBytes)
	if s.ClientLimits.ConnectionMegabytes > 0 && s.ClientLimits.ConnectionMegabytes<<20 < needed {
		problems.add("connection_memory_mb", "%d is less than a message of max_message_bytes takes, %d bytes",
			s.ClientLimits.ConnectionMegabytes, needed)
	}
	if limits := s.ClientLimits.Plan(s.MemoryMegabytes<<20, s.MaxDescriptors); limits.Memory > 0 && needed > limits.Memory {
		problems.add("memory_mb", "%d MB leave %d bytes for clients, and a message of max_message_bytes takes %d",
			s.MemoryMegabytes, limits.Memory, needed)
	}
}

func checkAddress(problems *problemList, field, address string) {
	host, _, err := net.SplitHostPort(address)
	if err == nil {
		_, err = netip.ParseAddr(host)
	}
	if err != nil {
		problems.add(field, "%q is not an IP address and port", address)
	}
}

// TLS returns the TLS configuration with the certificate loaded, or nil if TLS is
// disabled.
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
