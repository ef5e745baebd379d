package hvagent

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvslot"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// settingsStream is the name of the stream from which settings are fetched.
const settingsStream = "settings"

// followSettings applies the local settings file and then each new version of
// the published settings.
func (a *Agent) followSettings(ctx context.Context) {
	for {
		changed := a.settings.Changed()
		a.apply(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-a.gates.reload:
		}
	}
}

// apply applies the current settings to all parts of the agent.
func (a *Agent) apply(ctx context.Context) {
	v := a.settings.Current()
	if err := a.logs.SetLevel(v.Settings.Logs.Level); err != nil {
		logError(a.logger, "msg", "setting the log level failed, level unchanged", "err", err)
	}
	a.gates.set(ctx, a.addresses(v))
	if a.service != nil {
		limits := a.limits()
		a.service.slots.SetConfig(limits)
	}
	if v.Number > 0 {
		logInfo(a.logger, "msg", "settings applied", "version", v.Number, "author", v.Author)
	}
}

// limits returns the slots and connections of the service: those in the
// published settings, or those of the local file if the service is not in them.
func (a *Agent) limits() hvslot.Config {
	c := a.config()
	if s, ok := a.settings.Current().Settings.Services[c.Service]; ok {
		return hvslot.Config{Slots: s.Slots, Connections: s.Connections}
	}
	return hvslot.Config{Slots: c.Slots, Connections: c.Connections}
}

// addresses returns the addresses of the gates in the side's region. It returns
// those of the local file as long as the published settings have none.
func (a *Agent) addresses(v hvconf.Version) []string {
	c := a.config()
	region := c.Region
	if region == "" {
		region = v.Settings.Zones[c.Host.Zone].Region
	}
	var addresses []string
	for _, g := range v.Settings.Gates {
		if v.Settings.Zones[g.Zone].Region == region {
			addresses = append(addresses, g.Address)
		}
	}
	if len(addresses) == 0 {
		return c.Gates
	}
	return addresses
}

// fetch fetches the settings from a gate if the gate has a newer version.
func (a *Agent) fetch(ctx context.Context, c *hvwire.Conn, version hv.Offset) {
	current := a.settings.Current().Number
	if version <= current {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := hvwire.Call[hvwire.StreamState](ctx, c, hvwire.MethodFetch, hvwire.Fetch{Stream: settingsStream, After: current})
	if err == nil && len(state.Body) > 0 {
		err = a.settings.Adopt(state.Body)
	}
	if err != nil {
		logWarn(a.logger, "msg", "fetching settings from gate failed", "version", version, "err", err)
	}
}

// Reload reads the local settings file again. Only changes of gates, region,
// slots and connections take effect without a restart.
func (a *Agent) Reload(path string) {
	c, err := ReadConfig(path)
	if err != nil {
		logError(a.logger, "msg", "local settings are invalid, keeping the old ones", "err", err)
		return
	}
	a.mu.Lock()
	old := a.conf
	needsRestart := c.Host != old.Host || c.Service != old.Service || c.Upstream != old.Upstream || c.Worker != old.Worker || c.Listen != old.Listen
	a.conf.Region, a.conf.Gates, a.conf.Slots, a.conf.Connections = c.Region, c.Gates, c.Slots, c.Connections
	a.mu.Unlock()
	if needsRestart {
		logWarn(a.logger, "msg", "changes of host, service, upstream, worker or listen take effect after a restart")
	}
	select {
	case a.gates.reload <- struct{}{}:
	default:
	}
	logInfo(a.logger, "msg", "local settings reloaded")
}

// heartbeatInterval returns the time between two heartbeats.
func (a *Agent) heartbeatInterval() time.Duration {
	return a.settings.Current().Settings.Limits.HeartbeatInterval.Std()
}
