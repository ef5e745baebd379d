package hvcontrol

import (
	"context"
	"encoding/json"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvshard"
)

// applySettings applies every new version of the settings to the components of
// the gate until ctx ends.
func (c *Control) applySettings(ctx context.Context) {
	applied := hv.Offset(0)
	for {
		changed := c.settings.Changed()
		if v := c.settings.Current(); v.Number > applied {
			applied = v.Number
			c.apply(v)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (c *Control) apply(v hvconf.Version) {
	c.setGates(v.Settings)
	settings := shardSettings(v.Settings)
	for _, o := range c.owners {
		o.SetSettings(settings)
		if !c.isMember() {
			// A gate that the settings do not name does not count towards
			// majorities, so it must not own shards until it is restarted.
			o.StepDown()
		}
	}
	if c.OnSettingsApplied != nil {
		c.OnSettingsApplied(v)
	}
	_ = c.Logger.Log("msg", "settings applied", "version", v.Number, "author", v.Author)
}

func shardSettings(s *hvconf.Settings) hvshard.Settings {
	settings := hvshard.Settings{Teams: map[string]hv.Resources{}}
	for name, t := range s.Teams {
		settings.Teams[name] = t.Quota
	}
	add := func(name string, t hv.Task) {
		settings.Tasks = append(settings.Tasks, t.WithID(hvshard.SettingsID(name, t)))
	}
	for name, j := range s.Jobs {
		add(name, j.Task(name))
	}
	for name, w := range s.Watchers {
		add(name, w.Task(name))
	}
	return settings
}

// isMember reports whether the settings in effect name this gate. Before the
// first publication the list of gates is not certain, so no gate owns anything.
func (c *Control) isMember() bool {
	v := c.settings.Current()
	_, ok := v.Settings.Gates[c.conf.Name]
	return v.Number > 0 && ok
}

// publish appends a publication to the settings stream.
func (c *Control) publish(ctx context.Context, p hvconf.Publication) (hv.Offset, error) {
	return hvconf.Publish(ctx, c.settings, func(ctx context.Context, kind string, body json.RawMessage) (hv.Offset, error) {
		return c.settingsStream.append(ctx, kind, body, true)
	}, p)
}
