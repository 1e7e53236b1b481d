// Package extreme fills values of tests with numbers at their limits, empty and long lists
// and unknown names.
package extreme

import (
	"math"
	"math/rand/v2"
	"reflect"
)

// Source fills values at random.
type Source struct {
	*rand.Rand
	Names []string // strings to draw from
}

// New returns a source whose strings are short names and invalid UTF-8.
func New(seed uint64) *Source {
	return &Source{Rand: rand.New(rand.NewPCG(seed, 25)), Names: []string{"", "a", "b", "c", "\xff\xfe", "0.0.0.0"}}
}

func (x *Source) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				x.fill(v.Field(i))
			}
		}
	case reflect.Pointer:
		if x.IntN(3) == 0 {
			v.Set(reflect.New(v.Type().Elem()))
			x.fill(v.Elem())
		}
	case reflect.Slice:
		n := x.IntN(4)
		v.Set(reflect.MakeSlice(v.Type(), n, n))
		for i := range n {
			x.fill(v.Index(i))
		}
	case reflect.Map: // stays empty
	case reflect.Array:
		for i := range v.Len() {
			x.fill(v.Index(i))
		}
	case reflect.String:
		v.SetString(x.Names[x.IntN(len(x.Names))])
	case reflect.Bool:
		v.SetBool(x.IntN(2) == 0)
	case reflect.Int, reflect.Int64, reflect.Int32:
		v.SetInt([]int64{0, 0, 1, 1, 2, 3, 8, 1000, 4096, -1, 1 << 40, math.MaxInt64, math.MinInt64}[x.IntN(13)])
	case reflect.Uint, reflect.Uint64, reflect.Uint32:
		n := []uint64{0, 1, 2, 3, 4, 5, 8, 1 << 40, math.MaxUint64}[x.IntN(9)]
		if v.Kind() == reflect.Uint32 {
			n = min(n, math.MaxUint32)
		}
		v.SetUint(n)
	case reflect.Uint8:
		v.SetUint([]uint64{0, 1, 2, 3, 4, 5, 9, 17, 19, 20, 255}[x.IntN(11)])
	case reflect.Float64:
		v.SetFloat([]float64{0, 1, -1, 1.6, 1e300, -1e300, math.SmallestNonzeroFloat64}[x.IntN(7)])
	default:
		panic("extreme: " + v.Kind().String())
	}
}

// Of returns a filled value.
func Of[T any](x *Source) *T {
	v := new(T)
	x.fill(reflect.ValueOf(v).Elem())
	return v
}
