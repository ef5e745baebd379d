package main

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// config is the local settings file of a side.
type config struct {
	Host        hv.Host  `json:"host"`
	Service     string   `json:"service"`
	Upstream    string   `json:"upstream"`
	Worker      string   `json:"worker"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
	Gates       []string `json:"gates"`
	Listen      string   `json:"listen"`
}

func readConfig(path string) (config, error) {
	var c config
	b, err := os.ReadFile(path)
	if err != nil {
		return c, err
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, errors.Wrap(err, path)
	}
	return c, errors.Wrap(c.check(), path)
}

func (c config) check() error {
	switch {
	case c.Host.Name == "":
		return errors.New("host.name: is missing")
	case c.Host.Zone == "":
		return errors.New("host.zone: is missing")
	case len(c.Gates) == 0:
		return errors.New("gates: want at least one IP address and port")
	case c.Slots < 1:
		return errors.New("slots: want at least 1")
	case c.Connections < c.Slots:
		return errors.New("connections: want at least the number of slots")
	}
	return nil
}
