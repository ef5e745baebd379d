package main

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// config is the local settings file of a gate.
type config struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Listen is the address of the HTTP API.
	Listen string `json:"listen"`
	// Internal is the address that sides and other gates connect to.
	Internal string `json:"internal"`
	// Log is the base URL of the log service.
	Log string `json:"log"`
	// Gates are the internal addresses of the other gates to contact first.
	Gates []string `json:"gates"`
	// Token authenticates operators until an operator token is published.
	Token string `json:"token"`
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
	case c.Name == "":
		return errors.New("name: missing")
	case c.Region == "":
		return errors.New("region: missing")
	case c.Zone == "":
		return errors.New("zone: missing")
	case c.Listen == "":
		return errors.New("listen: want an IP address and port")
	case c.Internal == "":
		return errors.New("internal: want an IP address and port")
	case c.Log == "":
		return errors.New("log: want the base URL of the log service")
	}
	return nil
}
