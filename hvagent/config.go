package hvagent

import (
	"bytes"
	"encoding/json"
	"net/url"
	"os"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// Config is the local settings file of a side.
type Config struct {
	// Host.Capacity may be omitted if Worker is set.
	Host hv.Host `json:"host"`
	// Region selects the gates in the published settings. If it is empty, the
	// region of the host's zone in the settings is used.
	Region string `json:"region"`
	// Service is the name of the service that the side serves, and Upstream is
	// the base URL of its upstream. Both may be empty.
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	// Worker is the base URL of the platform worker, or empty.
	Worker string `json:"worker"`
	// Slots and Connections are used until settings are published.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Gates are the addresses of the gates to connect to until settings are
	// published.
	Gates []string `json:"gates"`
	// Listen is the address for health checks and metrics, or empty.
	Listen string `json:"listen"`
}

// Default limits of a service.
const (
	defaultSlots       = 8
	defaultConnections = 64
)

// maxConfigBytes bounds the local settings file.
const maxConfigBytes = 1 << 20

// ReadConfig reads and checks a local settings file.
func ReadConfig(path string) (Config, error) {
	var c Config
	b, err := os.ReadFile(path)
	if err == nil && len(b) > maxConfigBytes {
		err = errors.Errorf("%s: longer than %d bytes", path, maxConfigBytes)
	}
	if err != nil {
		return c, &Error{Op: "config", Kind: hv.Invalid, Err: err}
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, &Error{Op: "config", Kind: hv.Invalid, Err: errors.Wrap(err, path)}
	}
	c = c.withDefaults()
	if err := c.check(); err != nil {
		return c, &Error{Op: "config", Kind: hv.Invalid, Err: errors.Wrap(err, path)}
	}
	return c, nil
}

func (c Config) withDefaults() Config {
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.Connections == 0 {
		c.Connections = max(defaultConnections, c.Slots)
	}
	return c
}

func (c Config) check() error {
	switch {
	case c.Host.Name == "":
		return errors.New("host.name: missing")
	case c.Host.Zone == "":
		return errors.New("host.zone: missing")
	case len(c.Gates) == 0:
		return errors.New("gates: want at least one address (IP and port)")
	case c.Service != "" && c.Upstream == "":
		return errors.New("upstream: want the base URL of the service's upstream")
	case c.Slots < 1:
		return errors.New("slots: want at least 1")
	case c.Connections < c.Slots:
		return errors.New("connections: want at least as many as slots")
	}
	if err := checkURL("upstream", c.Upstream); err != nil {
		return err
	}
	if err := checkURL("worker", c.Worker); err != nil {
		return err
	}
	return errors.Wrap(c.Host.Capacity.Check(), "host.capacity")
}

func checkURL(field, text string) error {
	if text == "" {
		return nil
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return errors.Errorf("%s: want a base URL such as \"http://127.0.0.1:8080\", got %q", field, text)
	}
	return nil
}
