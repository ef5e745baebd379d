package hvconf

import (
	"encoding"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	hv "hibiscusvane.example/hibiscusvane"
)

// decoder decodes a tree into typed settings and collects all problems.
type decoder struct {
	problems Problems
}

func (d *decoder) addProblem(n *node, path, format string, args ...any) {
	d.problems = append(d.problems, Problem{File: n.file, Field: path, Message: fmt.Sprintf(format, args...)})
}

func (d *decoder) addMismatch(n *node, path, want string) {
	d.addProblem(n, path, "want %s, got %s", want, n.describe())
}

// decode sets v from a node. Fields that the node does not set keep their
// values, which are the defaults.
func (d *decoder) decode(v reflect.Value, n *node, path string) {
	if unmarshaler, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(v, unmarshaler, n, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(v, n, path)
	case reflect.Map:
		d.decodeMap(v, n, path)
	case reflect.Slice:
		d.decodeSlice(v, n, path)
	default:
		d.decodeScalar(v, n, path)
	}
}

// typeDescriptions describes the expected values of types that are written as
// strings.
var typeDescriptions = map[reflect.Type]string{
	reflect.TypeFor[hv.Duration](): `a duration such as "250ms"`,
	reflect.TypeFor[hv.Size]():     `a size such as "60GB"`,
	reflect.TypeFor[hv.Class]():    `"urgent", "standard" or "batch"`,
}

func (d *decoder) decodeText(v reflect.Value, target encoding.TextUnmarshaler, n *node, path string) {
	s, ok := n.value.(string)
	if ok && target.UnmarshalText([]byte(s)) == nil {
		return
	}
	want, known := typeDescriptions[v.Type()]
	if !known {
		want = `a time such as "2027-05-01T06:00:00Z"`
	}
	d.addMismatch(n, path, want)
}

func (d *decoder) decodeStruct(v reflect.Value, n *node, path string) {
	if n.object == nil {
		d.addMismatch(n, path, "an object")
		return
	}
	fields := map[string]int{}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	for key, child := range n.object {
		i, ok := fields[key]
		if !ok {
			d.addProblem(child, join(path, key), "unknown field; want one of %s", strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
			continue
		}
		d.decode(v.Field(i), child, join(path, key))
	}
}

func (d *decoder) decodeMap(v reflect.Value, n *node, path string) {
	if n.object == nil {
		d.addMismatch(n, path, "an object")
		return
	}
	if v.IsNil() {
		v.Set(reflect.MakeMap(v.Type()))
	}
	for name, child := range n.object {
		field := join(path, name)
		key := reflect.New(v.Type().Key()).Elem()
		if unmarshaler, ok := key.Addr().Interface().(encoding.TextUnmarshaler); ok && unmarshaler.UnmarshalText([]byte(name)) != nil {
			d.addProblem(child, field, "want %s as name", typeDescriptions[key.Type()])
			continue
		}
		key.SetString(name)
		item := reflect.New(v.Type().Elem()).Elem()
		if old := v.MapIndex(key); old.IsValid() {
			item.Set(old)
		} else if value, ok := defaults[item.Type()]; ok {
			item.Set(reflect.ValueOf(value))
		}
		d.decode(item, child, field)
		v.SetMapIndex(key, item)
	}
}

func (d *decoder) decodeSlice(v reflect.Value, n *node, path string) {
	if n.list == nil {
		d.addMismatch(n, path, "a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.list), len(n.list)))
	for i, child := range n.list {
		d.decode(v.Index(i), child, fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) decodeScalar(v reflect.Value, n *node, path string) {
	number, _ := n.value.(json.Number)
	switch v.Kind() {
	case reflect.String:
		s, ok := n.value.(string)
		if !ok {
			d.addMismatch(n, path, "a string")
		}
		v.SetString(s)
	case reflect.Bool:
		b, ok := n.value.(bool)
		if !ok {
			d.addMismatch(n, path, "true or false")
		}
		v.SetBool(b)
	case reflect.Int, reflect.Int64:
		i, err := number.Int64()
		if err != nil {
			d.addMismatch(n, path, "a whole number")
		}
		v.SetInt(i)
	case reflect.Float64:
		f, err := number.Float64()
		if err != nil {
			d.addMismatch(n, path, "a number")
		}
		v.SetFloat(f)
	default:
		panic("hvconf: no decoder for " + v.Type().String())
	}
}
