package main

import (
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// command is a verb with the arguments that follow it.
type command struct {
	verb
	args []string
	gate gateOptions
}

// gateOptions holds the options of the verbs that send requests to a gate.
type gateOptions struct {
	Gate    string        `long:"gate" env:"HV_GATE" value-name:"ADDRESS,..." description:"Addresses of gates; the next one is used if one can't be reached"`
	Token   string        `long:"token" env:"HV_TOKEN" value-name:"TOKEN" description:"Bearer token; other users of the machine can read command lines, so prefer the variable"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"Timeout of one request"`
}

// errVersionRequested is returned for a command line with --version.
var errVersionRequested = errors.New("version")

// helpText returns the text that --help or --version asked for.
func helpText(err error) (string, bool) {
	var f *flags.Error
	switch {
	case errors.Is(err, errVersionRequested):
		return version, true
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		return f.Message, true
	}
	return "", false
}

// parseLocal parses the arguments of a verb that needs no gate. Opts may be nil.
func (c *command) parseLocal(opts any, minArgs, maxArgs int) ([]string, error) {
	return c.parseArgs(minArgs, maxArgs, opts)
}

// parseRemote parses the arguments of a verb that needs a gate and returns a
// client.
func (c *command) parseRemote(opts any, minArgs, maxArgs int) ([]string, *client, error) {
	args, err := c.parseArgs(minArgs, maxArgs, opts, &c.gate)
	if err != nil {
		return nil, nil, err
	}
	cl, err := c.gate.client()
	return args, cl, err
}

func (c *command) parseArgs(minArgs, maxArgs int, groups ...any) ([]string, error) {
	var versionOption struct {
		Version bool `long:"version" description:"Print the version"`
	}
	p := flags.NewNamedParser("hvctl "+c.name, flags.HelpFlag|flags.PassDoubleDash)
	p.Usage = strings.TrimSpace("[OPTIONS] " + c.verb.args)
	p.LongDescription = c.usage + "."
	for _, g := range append(groups, &versionOption) {
		if g == nil {
			continue
		}
		if _, err := p.AddGroup("Options", "", g); err != nil {
			return nil, errorf("options", hv.Internal, "%v", err)
		}
	}
	args, err := p.ParseArgs(c.args)
	switch _, informational := helpText(err); {
	case informational:
		return nil, err
	case err != nil:
		return nil, errorf("usage", hv.Invalid, "%v", err)
	case versionOption.Version:
		return nil, errVersionRequested
	case len(args) < minArgs || len(args) > maxArgs:
		return nil, errorf("usage", hv.Invalid, "want hvctl %s %s, got %d arguments", c.name, c.verb.args, len(args))
	}
	return args, nil
}

func (r gateOptions) client() (*client, error) {
	if r.Token == "" {
		return nil, errorf("usage", hv.Invalid, "want a token in --token or HV_TOKEN")
	}
	var gates []string
	for _, g := range strings.Split(r.Gate, ",") {
		if g = strings.TrimSpace(g); g == "" {
			continue
		}
		base, err := baseURL(g)
		if err != nil {
			return nil, err
		}
		gates = append(gates, base)
	}
	if len(gates) == 0 {
		return nil, errorf("usage", hv.Invalid, "want the address of a gate in --gate or HV_GATE")
	}
	return newClient(gates, r.Token, r.Timeout), nil
}

// baseURL returns the base URL of a gate that is given as an address and port or
// as a base URL.
func baseURL(gate string) (string, error) {
	if !strings.Contains(gate, "://") {
		gate = "http://" + gate
	}
	u, err := url.Parse(gate)
	if err == nil {
		_, _, err = net.SplitHostPort(u.Host)
	}
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.User != nil {
		return "", errorf("usage", hv.Invalid, "gate %q: want an address and port such as 10.0.0.1:8080", gate)
	}
	return u.Scheme + "://" + u.Host, nil
}
