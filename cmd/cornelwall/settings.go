package main

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cornelwall"
)

const minSecretLen = 16 // bytes of a secret or token; messages call them characters

// settings is the configuration of serve from flags and environment variables.
type settings struct {
	Name       string
	DataCentre string

	Callers   netip.AddrPort
	Peers     netip.AddrPort
	Operators netip.AddrPort
	Advertise netip.AddrPort // where other entries reach this one; defaults to Peers

	StoreURLs []string // base URLs of the platform's store
	VMListURL string

	Secret string // shared by all entries
	Token  string // bearer token of the operators

	ListPoll        time.Duration // poll interval of the VM list
	PlatformTimeout time.Duration
	PeerTimeout     time.Duration
	StopTimeout     time.Duration // of a planned stop
	Linger          time.Duration // minimum duration of a planned stop
	Verbose         bool
}

func serveFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "name", Usage: "name of this entry VM on the VM list", Sources: env("NAME")},
		&cli.StringFlag{Name: "dc", Usage: "data centre of this entry VM", Sources: env("DC")},
		&cli.StringFlag{Name: "callers", Usage: "ip:port to listen on for callers", Value: "127.0.0.1:7000", Sources: env("CALLERS")},
		&cli.StringFlag{Name: "peers", Usage: "ip:port to listen on for other entries", Value: "127.0.0.1:7001", Sources: env("PEERS")},
		&cli.StringFlag{Name: "advertise", Usage: "ip:port at which other entries reach this one, if it differs from --peers", Sources: env("ADVERTISE")},
		&cli.StringFlag{Name: "operators", Usage: "ip:port to listen on for operators", Value: "127.0.0.1:7002", Sources: env("OPERATORS")},
		&cli.StringSliceFlag{Name: "store", Usage: "URL of the key-value service; may be repeated", Sources: env("STORE")},
		&cli.StringFlag{Name: "vms", Usage: "URL of the VM list", Sources: env("VMS")},
		&cli.StringFlag{Name: "secret", Usage: "secret shared by all entries; a file is safer", Sources: env("SECRET")},
		&cli.StringFlag{Name: "secret-file", Usage: "file with the secret shared by all entries", Sources: env("SECRET_FILE")},
		&cli.StringFlag{Name: "token", Usage: "token of the operators; a file is safer", Sources: env("TOKEN")},
		&cli.StringFlag{Name: "token-file", Usage: "file with the token of the operators", Sources: env("TOKEN_FILE")},
		&cli.DurationFlag{Name: "list-poll", Usage: "poll interval of the VM list", Value: time.Second, Sources: env("LIST_POLL")},
		&cli.DurationFlag{Name: "platform-timeout", Usage: "timeout of one call to the platform", Value: 2 * time.Second, Sources: env("PLATFORM_TIMEOUT")},
		&cli.DurationFlag{Name: "peer-timeout", Usage: "timeout of one call to another entry", Value: 2 * time.Second, Sources: env("PEER_TIMEOUT")},
		&cli.DurationFlag{Name: "stop-timeout", Usage: "timeout of a planned stop", Value: time.Minute, Sources: env("STOP_TIMEOUT")},
		&cli.DurationFlag{Name: "linger", Usage: "minimum duration of a planned stop, so that the load balancer notices it", Value: 2 * time.Second, Sources: env("LINGER")},
		&cli.BoolFlag{Name: "verbose", Usage: "log debug events too", Sources: env("VERBOSE")},
	}
}

// readSettings returns the settings. The error joins every problem with them.
func readSettings(c *cli.Command) (settings, error) {
	s := settings{
		Name:            c.String("name"),
		DataCentre:      c.String("dc"),
		StoreURLs:       c.StringSlice("store"),
		VMListURL:       c.String("vms"),
		ListPoll:        c.Duration("list-poll"),
		PlatformTimeout: c.Duration("platform-timeout"),
		PeerTimeout:     c.Duration("peer-timeout"),
		StopTimeout:     c.Duration("stop-timeout"),
		Linger:          c.Duration("linger"),
		Verbose:         c.Bool("verbose"),
	}
	var errs []error
	address := func(flag string, to *netip.AddrPort) {
		a, err := netip.ParseAddrPort(c.String(flag))
		if err != nil {
			errs = append(errs, fmt.Errorf("--%s %q is not an address; use ip:port", flag, c.String(flag)))
		}
		*to = a
	}
	secret := func(flag string, to *string) {
		text, err := readSecret(flag, c.String(flag), c.String(flag+"-file"))
		if err != nil {
			errs = append(errs, err)
		}
		*to = text
	}
	secret("secret", &s.Secret)
	secret("token", &s.Token)
	address("callers", &s.Callers)
	address("peers", &s.Peers)
	address("operators", &s.Operators)
	if c.String("advertise") != "" {
		address("advertise", &s.Advertise)
	}
	return s, errors.Join(append(errs, s.check())...)
}

// readSecret returns the value of a flag for a secret, or the content of the file named by the
// corresponding "-file" flag, without surrounding white space.
func readSecret(flag, text, file string) (string, error) {
	switch {
	case file == "":
		return text, nil
	case text != "":
		return text, fmt.Errorf("--%s and --%s-file are both set; use one", flag, flag)
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("--%s-file cannot be read: %w", flag, err)
	}
	return strings.TrimSpace(string(b)), nil
}

// check reports every problem with the settings.
func (s *settings) check() error {
	errs := []error{cornelwall.CheckName("--name", s.Name), cornelwall.CheckName("--dc", s.DataCentre)}
	if s.Peers.Addr().IsUnspecified() && !s.Advertise.IsValid() {
		errs = append(errs, fmt.Errorf("--peers %s is not an address that other entries can reach; set --advertise to one", s.Peers))
	}
	if s.Advertise.IsValid() && s.Advertise.Addr().IsUnspecified() {
		errs = append(errs, fmt.Errorf("--advertise %s is not an address that other entries can reach; use a specific ip:port", s.Advertise))
	}
	if len(s.StoreURLs) == 0 {
		errs = append(errs, errors.New("--store is missing; set the URL of the key-value service"))
	}
	for _, u := range append(s.StoreURLs, s.VMListURL) {
		if v, err := url.Parse(u); err != nil || v.Host == "" {
			errs = append(errs, fmt.Errorf("%q is not a URL; set --store and --vms to http://host:port/path", u))
		}
	}
	if len(s.Secret) < minSecretLen {
		errs = append(errs, fmt.Errorf("--secret has %d characters; use %d or more, here or in --secret-file", len(s.Secret), minSecretLen))
	}
	if len(s.Token) < minSecretLen {
		errs = append(errs, fmt.Errorf("--token has %d characters; use %d or more, here or in --token-file", len(s.Token), minSecretLen))
	}
	if s.Secret != "" && s.Secret == s.Token {
		errs = append(errs, errors.New("--secret and --token are the same; use different values"))
	}
	for _, v := range []struct {
		flag string
		d    time.Duration
	}{
		{"list-poll", s.ListPoll}, {"platform-timeout", s.PlatformTimeout},
		{"peer-timeout", s.PeerTimeout}, {"stop-timeout", s.StopTimeout},
	} {
		if v.d <= 0 {
			errs = append(errs, fmt.Errorf("--%s %s is not positive; use a duration such as 2s", v.flag, v.d))
		}
	}
	if s.Linger < 0 || s.Linger >= s.StopTimeout {
		errs = append(errs, fmt.Errorf("--linger %s is out of range; use 0s or more, and less than --stop-timeout %s", s.Linger, s.StopTimeout))
	}
	return errors.Join(errs...)
}
