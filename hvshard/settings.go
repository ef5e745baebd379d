package hvshard

import (
	"fmt"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

// SettingsID returns the identifier of a task from the settings. A changed
// watcher gets a new identifier and replaces the old one. A job keeps its
// identifier, because a changed definition must not run the job twice.
func SettingsID(name string, t hv.Task) string {
	if t.Kind == hv.Job {
		return "settings.job." + name
	}
	return fmt.Sprintf("settings.%s.%s.%08x", t.Kind, name, uint32(hvtask.Checksum(t.WithID(""))))
}

// applySettings submits the tasks of the settings that are missing in the
// shard, and cancels those that were removed from the settings.
func (o *Owner) applySettings(now time.Time) {
	if o.settings == nil || now.Sub(o.settingsChecked) < settingsInterval {
		return
	}
	o.settingsChecked = now
	wanted := make(map[string]bool)
	for _, t := range o.settings.Tasks {
		if hvtask.ShardOf(t.ID) != o.config.Shard {
			continue
		}
		wanted[t.ID] = true
		expired := t.Kind == hv.Job && !t.Deadline.After(now)
		if _, ok := o.state.Lookup(t.ID); !ok && !expired {
			o.enqueue(hvtask.Op{Op: hvtask.OpSubmit, TaskID: t.ID, NewTask: &t, FromSettings: true})
		}
	}
	for _, id := range o.state.FromSettings() {
		if !wanted[id] {
			o.enqueue(hvtask.Op{Op: hvtask.OpCancel, TaskID: id, TaskIDs: []string{id}, Reason: "the settings no longer have the task"})
		}
	}
}
