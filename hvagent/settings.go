package hvagent

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvslot"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// settingsStream is the stream name under which gates give the settings.
const settingsStream = "settings"

// followSettings puts the local file and then every version into force.
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

// apply brings every part to the settings in force.
func (a *Agent) apply(ctx context.Context) {
	v := a.settings.Current()
	if err := a.logs.SetLevel(v.Settings.Logs.Level); err != nil {
		logError(a.logger, "msg", "level of the logs is unchanged", "err", err)
	}
	a.gates.set(ctx, a.addresses(v))
	if a.service != nil {
		limits := a.limits()
		a.service.slots.SetConfig(limits)
	}
	if v.Number > 0 {
		logInfo(a.logger, "msg", "settings are in force", "version", v.Number, "author", v.Author)
	}
}

// limits returns the slots and connections of the service.
func (a *Agent) limits() hvslot.Config {
	c := a.config()
	if s, ok := a.settings.Current().Settings.Services[c.Service]; ok {
		return hvslot.Config{Slots: s.Slots, Connections: s.Connections}
	}
	return hvslot.Config{Slots: c.Slots, Connections: c.Connections}
}

// addresses returns those of the gates of the own region. The local file
// counts until the settings name one.
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

// fetch takes a newer version of the settings from a gate.
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
		logWarn(a.logger, "msg", "settings were not fetched", "version", version, "err", err)
	}
}

// Reload reads the local settings file again. Other fields than gates, region,
// slots and connections need a restart.
func (a *Agent) Reload(path string) {
	c, err := ReadConfig(path)
	if err != nil {
		logError(a.logger, "msg", "settings are invalid and were not taken", "err", err)
		return
	}
	a.mu.Lock()
	old := a.conf
	needsRestart := c.Host != old.Host || c.Service != old.Service || c.Upstream != old.Upstream || c.Worker != old.Worker || c.Listen != old.Listen
	a.conf.Region, a.conf.Gates, a.conf.Slots, a.conf.Connections = c.Region, c.Gates, c.Slots, c.Connections
	a.mu.Unlock()
	if needsRestart {
		logWarn(a.logger, "msg", "changes of host, service, upstream, worker and listen need a restart")
	}
	select {
	case a.gates.reload <- struct{}{}:
	default:
	}
	logInfo(a.logger, "msg", "the local settings were read again")
}

// heartbeatInterval is the time between two heartbeats.
func (a *Agent) heartbeatInterval() time.Duration {
	return a.settings.Current().Settings.Limits.HeartbeatInterval.Std()
}
