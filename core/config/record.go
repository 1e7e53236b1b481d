// Package config is the published configuration as a state machine over the
// records of one log stream. Every reader that applies the same records gets
// the same state.
//
// Revisions and versions are log positions: the record at offset n produces
// revision n+1 of its item and version n+1 of the whole state. 0 means "never
// set" and "no configuration". Offsets start at 0, so the offset itself could
// not express that.
package config

import (
	"errors"
	"fmt"
	"math"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the kind of an item.
type Kind uint8

// Values of Kind.
const (
	KindClass Kind = iota + 1
	KindTeam
	// KindEmphasis is the single item with an empty name.
	KindEmphasis
)

// String returns the kind's name as used in TOML and in messages.
func (k Kind) String() string {
	switch k {
	case KindClass:
		return "class"
	case KindTeam:
		return "team"
	case KindEmphasis:
		return "emphasis"
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// ID is the identity that the author gave to a change.
type ID [16]byte

// Key names an item.
type Key struct {
	Kind Kind
	Name string
}

// String returns "class quote" or "emphasis".
func (k Key) String() string {
	if k.Name == "" {
		return k.Kind.String()
	}
	return k.Kind.String() + " " + k.Name
}

// Value is the state of one item. Only the fields of its kind are set.
type Value struct {
	_            struct{} `cbor:",toarray"`
	WithinMicros int64    // class: response time aimed for
	Success      float64  // class: share of jobs, 0 to 1
	Quota        int64    // team: tasks in service, 0 means no bound
	Emphasis     uint8    // policy.Emphasis
}

// Change is one operator change.
type Change struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Name    string
	Base    int64 // revision that the change replaces, 0 if the item was never set
	Deleted bool
	Value   Value
}

// Key returns the item that the change concerns.
func (c *Change) Key() Key { return Key{Kind: c.Kind, Name: c.Name} }

// Snapshot carries the whole state. Every record below Covers is accounted for.
type Snapshot struct {
	_      struct{} `cbor:",toarray"`
	Covers int64
	State  []byte
}

// Record is the body of one log record of the stream: a change or a snapshot.
type Record struct {
	_        struct{} `cbor:",toarray"`
	Format   uint32
	ID       ID
	Change   *Change
	Snapshot *Snapshot
}

// Format is the version of the record and the state encoding.
const Format = 1

// Limits on values.
const (
	MaxNameBytes = 64
	MinWithin    = time.Millisecond
	MaxWithin    = 10 * time.Minute
	MaxQuota     = 1_000_000
	// DefaultMaxItems bounds the classes and the teams each.
	DefaultMaxItems = 1000
	// maxArray bounds decoded arrays; benchmarks use 10,000 items.
	maxArray = 65536
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxArray,
		MaxNestedLevels:  6,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the record's body.
func (r *Record) Encode() ([]byte, error) {
	r.Format = Format
	return encMode.Marshal(r)
}

// ErrNewerFormat is wrapped by Decode's error for a record of a later format.
// Every format is an array whose first element is the format number.
var ErrNewerFormat = errors.New("record of a newer format")

// Decode parses a record body. It checks the shape, not the values.
func Decode(body []byte) (*Record, error) {
	var head []cbor.RawMessage
	var format uint32
	if err := decMode.Unmarshal(body, &head); err != nil {
		return nil, fmt.Errorf("config record: %w", err)
	}
	if len(head) == 0 || decMode.Unmarshal(head[0], &format) != nil || format == 0 {
		return nil, errors.New("config record: no format number")
	}
	if format > Format {
		return nil, fmt.Errorf("config record: %w: %d, known: %d", ErrNewerFormat, format, Format)
	}
	var r Record
	if err := decMode.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("config record: %w", err)
	}
	if (r.Change == nil) == (r.Snapshot == nil) {
		return nil, fmt.Errorf("config record: want either a change or a snapshot")
	}
	return &r, nil
}

// Fault is one value that is not allowed.
type Fault struct {
	Field   string // name, within, success, quota, emphasis, kind, base
	Got     string
	Allowed string
}

// Error states the field, the value and what is allowed.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: got %s, allowed: %s", f.Field, f.Got, f.Allowed)
}

// What is allowed, as shown to operators.
const (
	AllowedName     = "1 to 64 of a-z, 0-9, '-', '_' and '.', starting with a letter or a digit"
	AllowedWithin   = "1 ms to 600000 ms"
	AllowedSuccess  = "0 to 1"
	AllowedQuota    = "0 (no bound) to 1000000"
	AllowedEmphasis = `"response" or "messages"`
)

// Faults returns every fault of the change on its own, without regard to the
// current state.
func (c *Change) Faults() []Fault {
	var out []Fault
	if c.Base < 0 {
		out = append(out, Fault{"base", fmt.Sprint(c.Base), "0 or a revision"})
	}
	if c.Kind == KindEmphasis {
		if c.Name != "" {
			out = append(out, Fault{"name", fmt.Sprintf("%q", c.Name), "no name"})
		}
	} else if !ValidName(c.Name) {
		out = append(out, Fault{"name", fmt.Sprintf("%q", c.Name), AllowedName})
	}
	if c.Deleted && c.Kind != KindEmphasis {
		return out
	}
	return append(out, c.valueFaults()...)
}

func (c *Change) valueFaults() []Fault {
	v := &c.Value
	switch c.Kind {
	case KindClass:
		return classFaults(v)
	case KindTeam:
		if v.Quota < 0 || v.Quota > MaxQuota {
			return []Fault{{"quota", fmt.Sprint(v.Quota), AllowedQuota}}
		}
	case KindEmphasis:
		if c.Deleted || v.Emphasis > 1 {
			return []Fault{{"emphasis", fmt.Sprint(v.Emphasis), AllowedEmphasis}}
		}
	default:
		return []Fault{{"kind", fmt.Sprint(uint8(c.Kind)), "class, team or emphasis"}}
	}
	return nil
}

func classFaults(v *Value) []Fault {
	var out []Fault
	within := v.WithinMicros
	if within < MinWithin.Microseconds() || within > MaxWithin.Microseconds() {
		out = append(out, Fault{"within", fmt.Sprintf("%d us", within), AllowedWithin})
	}
	if math.IsNaN(v.Success) || v.Success < 0 || v.Success > 1 {
		out = append(out, Fault{"success", fmt.Sprint(v.Success), AllowedSuccess})
	}
	return out
}

// ValidName reports whether name may name a class or a team.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes || !utf8.ValidString(name) {
		return false
	}
	for i, r := range name {
		alnum := r >= 'a' && r <= 'z' || r >= '0' && r <= '9'
		punct := r == '-' || r == '_' || r == '.'
		if !alnum && (!punct || i == 0) {
			return false
		}
	}
	return true
}
