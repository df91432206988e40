package settings

import (
	"encoding"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"

	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// fill sets the struct v from the JSON object in tree and adds every fault. A
// path ends with a dot when it has parts.
func fill(v reflect.Value, tree any, path string, faults *Faults) {
	object, ok := tree.(map[string]any)
	if !ok {
		faults.add(path+"(object)", text(tree), "want an object")
		return
	}
	known := make(map[string]bool)
	fillFields(v, object, path, known, faults)
	for _, key := range slices.Sorted(maps.Keys(object)) {
		if !known[key] {
			faults.add(path+key, text(object[key]), "unknown key; want one of %v", slices.Sorted(maps.Keys(known)))
		}
	}
}

func fillFields(v reflect.Value, object map[string]any, path string, known map[string]bool, faults *Faults) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Anonymous {
			fillFields(v.Field(i), object, path, known, faults)
			continue
		}
		key := field.Tag.Get("json")
		known[key] = true
		value, given := object[key]
		if !given {
			value, given = missing(field, path+key, faults)
		}
		if given {
			set(v.Field(i), field, value, path+key, faults)
		}
	}
}

// missing returns what a field that is not in the file gets.
func missing(field reflect.StructField, path string, faults *Faults) (value any, given bool) {
	if d, ok := field.Tag.Lookup("default"); ok {
		return defaultTree(field.Type, d), true
	}
	if field.Tag.Get("optional") != "true" {
		faults.add(path, "", "missing: %s", field.Tag.Get("doc"))
		return nil, false
	}
	if field.Type.Kind() == reflect.Struct {
		return map[string]any{}, true // its own defaults
	}
	return nil, false
}

func defaultTree(t reflect.Type, d string) any {
	switch {
	case reflect.PointerTo(t).Implements(textUnmarshaler):
		return d
	case t.Kind() == reflect.Int:
		return json.Number(d)
	case t.Kind() == reflect.Bool:
		return d == "true"
	}
	return d
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// set gives one field its value or adds the fault.
func set(v reflect.Value, field reflect.StructField, value any, path string, faults *Faults) {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		setText(u, field, value, path, faults)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		fill(v, value, path+".", faults)
	case reflect.Pointer: // an optional section, whose fields must be given only if it is
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), value, path+".", faults)
	case reflect.Slice:
		setList(v, value, path, faults)
	case reflect.String:
		setString(v, value, path, faults)
	case reflect.Bool:
		b, ok := value.(bool)
		if !ok {
			faults.add(path, text(value), "want true or false")
			return
		}
		v.SetBool(b)
	case reflect.Int:
		setInt(v, field, value, path, faults)
	}
}

func setText(u encoding.TextUnmarshaler, field reflect.StructField, value any, path string, faults *Faults) {
	s, ok := value.(string)
	if !ok {
		faults.add(path, text(value), "want text in quotes")
		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil {
		faults.add(path, strconv.Quote(s), "%v", err)
		return
	}
	if d, ok := u.(*wire.Duration); ok {
		least, most := durationTag(field, "min"), durationTag(field, "max")
		if *d < least || *d > most {
			faults.add(path, strconv.Quote(s), "want %s to %s", least, most)
		}
	}
}

func durationTag(field reflect.StructField, tag string) wire.Duration {
	var d wire.Duration
	if err := d.UnmarshalText([]byte(field.Tag.Get(tag))); err != nil {
		panic(fmt.Sprintf("settings: field %s has a bad tag %s: %v", field.Name, tag, err))
	}
	return d
}

func setList(v reflect.Value, value any, path string, faults *Faults) {
	list, ok := value.([]any)
	if !ok {
		faults.add(path, text(value), "want a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list), len(list)))
	for i, element := range list {
		set(v.Index(i), reflect.StructField{}, element, fmt.Sprintf("%s[%d]", path, i), faults)
	}
}

func setString(v reflect.Value, value any, path string, faults *Faults) {
	s, ok := value.(string)
	if !ok {
		faults.add(path, text(value), "want text in quotes")
		return
	}
	switch v.Interface().(type) {
	case vm.ID, vm.FailureDomain:
		if err := vm.CheckName(s); err != nil {
			faults.add(path, strconv.Quote(s), "%v", err)
			return
		}
	}
	v.SetString(s)
}

func setInt(v reflect.Value, field reflect.StructField, value any, path string, faults *Faults) {
	least, _ := strconv.ParseInt(field.Tag.Get("min"), 10, 64)
	most, _ := strconv.ParseInt(field.Tag.Get("max"), 10, 64)
	number, ok := value.(json.Number)
	n, err := strconv.ParseInt(number.String(), 10, 64)
	if !ok || err != nil || n < least || n > most {
		faults.add(path, text(value), "want a whole number from %d to %d", least, most)
		return
	}
	v.SetInt(n)
}

// text returns a JSON value as it would stand in the file.
func text(value any) string {
	b, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(b)
}
