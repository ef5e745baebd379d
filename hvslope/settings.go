package hvslope

import (
	"encoding/json"
	"fmt"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
)

// publication returns settings with the given number of gates, 63 teams, 63
// callers, and the services of the fleet.
func (f *fleet) publication(gates int) hvconf.Publication {
	type object = map[string]any
	zones, gateSettings, teams, callers, services := object{}, object{}, object{}, object{}, object{}
	for i := range zoneCount {
		zones[fmt.Sprintf("zone-%d", i)] = object{"region": region}
	}
	for i := range gates {
		gateSettings[fmt.Sprintf("gate-%d", i+1)] = object{"zone": fmt.Sprintf("zone-%d", i%zoneCount), "address": fmt.Sprintf("10.20.%d.10:7000", i+1)}
	}
	for i := range teamCount {
		teams[fmt.Sprintf("team-%02d", i)] = object{"quota": hv.Resources{Processors: 400000, Memory: 1600 * hv.GB, Accelerators: 15}}
		callers[fmt.Sprintf("caller-%02d", i)] = object{"token": uuidOf(5, i), "weight": 1, "floor": 0.01}
	}
	for i := range f.services() {
		services[serviceOf(i*sidesPerService)] = object{"slots": 8, "connections": 64, "target": "300ms", "guard": true}
	}
	files := hvconf.Files{}
	for i, section := range []object{{"zones": zones, "gates": gateSettings}, {"callers": callers}, {"services": services}, {"teams": teams}} {
		files[fmt.Sprintf("%d0.json", i+1)] = json.RawMessage(encode(section))
	}
	if _, err := hvconf.Check(files); err != nil {
		panic(err)
	}
	return hvconf.Publication{Author: "operator", Files: files}
}

// PublicationSizes returns the size in bytes of the record of a publication and
// of a side's fetch of the settings.
func (f *fleet) PublicationSizes() (record, fetched float64) {
	rec := recordOf(hvconf.KindPublish, 1, f.publication(zoneCount))
	n := len(encode(rec))
	store := hvconf.NewStore(violation)
	rec.Offset = 1
	store.Apply(rec)
	body, err := store.Snapshot()
	if err != nil || store.Current().Number != 1 {
		panic(fmt.Sprint("publication is not in effect: ", err))
	}
	return float64(n), float64(settingsFetchBytes(body))
}
