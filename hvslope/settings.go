package hvslope

import (
	"encoding/json"
	"fmt"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
)

// publication returns a version of the settings with a number of gates, 63
// teams, as many callers, and the services of the fleet.
func (f *fleet) publication(gates int) hvconf.Publication {
	type object = map[string]any
	zones, names, teams, callers, services := object{}, object{}, object{}, object{}, object{}
	for i := range zoneCount {
		zones[fmt.Sprintf("zone-%d", i)] = object{"region": region}
	}
	for i := range gates {
		names[fmt.Sprintf("gate-%d", i+1)] = object{"zone": fmt.Sprintf("zone-%d", i%zoneCount), "address": fmt.Sprintf("10.20.%d.10:7000", i+1)}
	}
	for i := range teamCount {
		teams[fmt.Sprintf("team-%02d", i)] = object{"quota": hv.Resources{Processors: 400000, Memory: 1600 * hv.GB, Accelerators: 15}}
		callers[fmt.Sprintf("caller-%02d", i)] = object{"token": uuidOf(5, i), "weight": 1, "floor": 0.01}
	}
	for i := range f.services() {
		services[serviceOf(i*instances)] = object{"slots": 8, "connections": 64, "target": "300ms", "guard": true}
	}
	files := hvconf.Files{}
	for i, section := range []object{{"zones": zones, "gates": names}, {"callers": callers}, {"services": services}, {"teams": teams}} {
		files[fmt.Sprintf("%d0.json", i+1)] = json.RawMessage(encode(section))
	}
	if _, err := hvconf.Check(files); err != nil {
		panic(err)
	}
	return hvconf.Publication{Author: "operator", Files: files}
}

// Publication returns the bytes of the record of a publication, and of the
// copy that a side fetches.
func (f *fleet) Publication() (record, copied float64) {
	rec := recordOf(hvconf.KindPublish, 1, f.publication(zoneCount))
	n := len(encode(rec))
	book := hvconf.NewStore(violation)
	rec.Offset = 1
	book.Apply(rec)
	body, err := book.Snapshot()
	if err != nil || book.Current().Number != 1 {
		panic(fmt.Sprint("the publication is not in force: ", err))
	}
	return float64(n), float64(stateBytes(body))
}
