// Package jsonread reads values of JSON objects by key. Its errors name the key that is at fault.
package jsonread

import (
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"
)

// Object reads values of an object by key and keeps the first error. Absent keys read as zero values; unknown keys are
// ignored.
type Object struct {
	v    *fastjson.Value
	path string
	err  *error
}

// New returns a reader of v, or an error if v is not an object.
func New(v *fastjson.Value) (Object, error) {
	if v == nil {
		return Object{}, fmt.Errorf("want an object, got nothing")
	}
	if v.Type() != fastjson.TypeObject {
		return Object{}, fmt.Errorf("want an object, got %s", v.Type())
	}
	return Object{v: v, err: new(error)}, nil
}

// Err returns the first error of this reader and of those made from it by Child and Children.
func (o Object) Err() error { return *o.err }

// Fail records that the value of a key is not what is expected, unless there is an error already.
func (o Object) Fail(key, want, got string) {
	if *o.err == nil {
		*o.err = fmt.Errorf("%s%s: want %s, got %s", o.path, key, want, got)
	}
}

// Has reports whether the key is present and not null.
func (o Object) Has(key string) bool {
	v := o.v.Get(key)
	return v != nil && v.Type() != fastjson.TypeNull
}

// get returns the value of a key, or nil if it is absent or has none of the types.
func (o Object) get(key, want string, types ...fastjson.Type) *fastjson.Value {
	if !o.Has(key) {
		return nil
	}
	v := o.v.Get(key)
	for _, allowed := range types {
		if v.Type() == allowed {
			return v
		}
	}
	o.Fail(key, want, v.Type().String())
	return nil
}

// Float reads a number.
func (o Object) Float(key string) float64 {
	v := o.get(key, "a number", fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	return v.GetFloat64()
}

// Integer reads an integer.
func (o Object) Integer(key string) int64 {
	v := o.get(key, "a whole number", fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	n, err := v.Int64()
	if err != nil {
		o.Fail(key, "a whole number", v.String())
	}
	return n
}

// Duration reads a number of milliseconds.
func (o Object) Duration(key string) time.Duration {
	const want = "a number of milliseconds"
	v := o.get(key, want, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	d, err := Duration(v)
	if err != nil {
		o.Fail(key, want, v.String())
	}
	return d
}

// Text reads a string.
func (o Object) Text(key string) string {
	v := o.get(key, "a string", fastjson.TypeString)
	if v == nil {
		return ""
	}
	return string(v.GetStringBytes())
}

// Boolean reads true or false.
func (o Object) Boolean(key string) bool {
	v := o.get(key, "true or false", fastjson.TypeTrue, fastjson.TypeFalse)
	return v != nil && v.GetBool()
}

// Child returns the object under a key; an absent one reads as an empty object.
func (o Object) Child(key string) Object {
	v := o.get(key, "an object", fastjson.TypeObject)
	return Object{v: v, path: o.path + key + ".", err: o.err}
}

// Array returns the values of the array under a key, or nil if it is absent.
func (o Object) Array(key string) []*fastjson.Value {
	v := o.get(key, "an array", fastjson.TypeArray)
	if v == nil {
		return nil
	}
	return v.GetArray()
}

// Children returns readers of the objects in the array under a key.
func (o Object) Children(key string) []Object {
	var all []Object
	for i, item := range o.Array(key) {
		elementKey := fmt.Sprintf("%s[%d]", key, i)
		if item.Type() != fastjson.TypeObject {
			o.Fail(elementKey, "an object", item.Type().String())
			continue
		}
		all = append(all, Object{v: item, path: o.path + elementKey + ".", err: o.err})
	}
	return all
}

// Enum returns the table's value for the name under a key, or the zero value for an absent name.
func Enum[T any](o Object, key string, table map[string]T) (t T) {
	name := o.Text(key)
	if name == "" {
		return t
	}
	t, ok := table[name]
	if !ok && *o.err == nil {
		*o.err = fmt.Errorf("%s%s: unknown value %q", o.path, key, name)
	}
	return t
}

// Duration converts a number of milliseconds, rounded to the microsecond.
func Duration(v *fastjson.Value) (time.Duration, error) {
	ms, err := v.Float64()
	if err != nil {
		return 0, err
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond, nil
}
