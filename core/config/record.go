// Package config implements the published configuration as a replicated state
// machine over the records of one log stream. Every reader that applies the same
// records gets the same state.
//
// Revisions and versions are log positions: the record at offset n produces
// revision n+1 of its item and version n+1 of the whole state. Revision 0 means
// that the item was never set, version 0 that there is no configuration. Offsets
// start at 0, so an offset could not express this.
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
	// KindEmphasis is the kind of the single item that has no name.
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

// ID identifies a record. Its author chooses it.
type ID [16]byte

// Key identifies an item.
type Key struct {
	Kind Kind
	Name string
}

// String returns the kind and the name, for instance "class quote", or
// "emphasis".
func (k Key) String() string {
	if k.Name == "" {
		return k.Kind.String()
	}
	return k.Kind.String() + " " + k.Name
}

// Value is the value of one item. Only the fields of the item's kind are set.
type Value struct {
	_                    struct{} `cbor:",toarray"`
	ResponseTargetMicros int64    // class: response time that jobs should meet
	TargetShare          float64  // class: share of jobs that should meet it, 0 to 1
	Quota                int64    // team: share weight that also bounds waiting tasks, 0 for the default weight and no bound, see policy.Team.Quota
	Emphasis             uint8    // emphasis: a policy.Emphasis
}

// Change sets or deletes one item on behalf of an operator.
type Change struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Name    string
	Base    int64 // revision that the change is based on, 0 if the item was never set
	Deleted bool
	Value   Value
}

// Key returns the key of the item that the change sets or deletes.
func (c *Change) Key() Key { return Key{Kind: c.Kind, Name: c.Name} }

// Snapshot holds the encoded state after every record below EndOffset.
type Snapshot struct {
	_         struct{} `cbor:",toarray"`
	EndOffset int64
	State     []byte
}

// Record is the body of one log record of the stream: a change or a snapshot. The
// other field is nil.
type Record struct {
	_        struct{} `cbor:",toarray"`
	Format   uint32
	ID       ID
	Change   *Change
	Snapshot *Snapshot
}

// Format is the version of the encodings of records and states.
const Format = 1

// Limits on values.
const (
	MaxNameBytes      = 64
	MinResponseTarget = time.Millisecond
	MaxResponseTarget = 10 * time.Minute
	MaxQuota          = 1_000_000
	// DefaultMaxItems is the default of Options.MaxItems.
	DefaultMaxItems = 1000
	// maxArrayElements bounds the length of decoded arrays. Benchmarks use states
	// of 10,000 items.
	maxArrayElements = 65536
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
		MaxArrayElements: maxArrayElements,
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

// ErrNewerFormat is wrapped by the error of Decode for a record whose format is
// newer than Format. In every format a record is an array whose first element is
// the format number.
var ErrNewerFormat = errors.New("record of a newer format")

// Decode parses a record body. It checks the structure but not the values; see
// Change.Validate.
func Decode(body []byte) (*Record, error) {
	var elements []cbor.RawMessage
	var format uint32
	if err := decMode.Unmarshal(body, &elements); err != nil {
		return nil, fmt.Errorf("config record: %w", err)
	}
	if len(elements) == 0 || decMode.Unmarshal(elements[0], &format) != nil || format == 0 {
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
		return nil, fmt.Errorf("config record: want exactly one of change and snapshot")
	}
	return &r, nil
}

// FieldError is the validation error of one field.
type FieldError struct {
	// Field is name, within, success, quota, emphasis, kind or base. It is class or
	// team if there are too many classes or teams.
	Field   string
	Got     string // rejected value
	Allowed string // allowed values, in words
}

// Error returns the field, the rejected value and the allowed values.
func (f FieldError) Error() string {
	return fmt.Sprintf("%s: got %s, allowed: %s", f.Field, f.Got, f.Allowed)
}

// Allowed values, as shown to operators.
const (
	AllowedName           = "1 to 64 of a-z, 0-9, '-', '_' and '.', starting with a letter or a digit"
	AllowedResponseTarget = "1 ms to 600000 ms"
	AllowedTargetShare    = "0 to 1"
	AllowedQuota          = "0 (no bound) to 1000000"
	AllowedEmphasis       = `"response" or "messages"`
)

// Validate validates the change independently of the current state and returns all
// errors. State.Validate adds the checks that depend on the state.
func (c *Change) Validate() []FieldError {
	var out []FieldError
	if c.Base < 0 {
		out = append(out, FieldError{"base", fmt.Sprint(c.Base), "0 or a revision"})
	}
	if c.Kind == KindEmphasis {
		if c.Name != "" {
			out = append(out, FieldError{"name", fmt.Sprintf("%q", c.Name), "no name"})
		}
	} else if !ValidName(c.Name) {
		out = append(out, FieldError{"name", fmt.Sprintf("%q", c.Name), AllowedName})
	}
	if c.Deleted && c.Kind != KindEmphasis {
		return out
	}
	return append(out, c.validateValue()...)
}

// validateValue validates the kind and the fields of the value that it uses.
func (c *Change) validateValue() []FieldError {
	v := &c.Value
	switch c.Kind {
	case KindClass:
		return validateClass(v)
	case KindTeam:
		if v.Quota < 0 || v.Quota > MaxQuota {
			return []FieldError{{"quota", fmt.Sprint(v.Quota), AllowedQuota}}
		}
	case KindEmphasis:
		if c.Deleted || v.Emphasis > 1 {
			return []FieldError{{"emphasis", fmt.Sprint(v.Emphasis), AllowedEmphasis}}
		}
	default:
		return []FieldError{{"kind", fmt.Sprint(uint8(c.Kind)), "class, team or emphasis"}}
	}
	return nil
}

func validateClass(v *Value) []FieldError {
	var out []FieldError
	target := v.ResponseTargetMicros
	if target < MinResponseTarget.Microseconds() || target > MaxResponseTarget.Microseconds() {
		out = append(out, FieldError{"within", fmt.Sprintf("%d us", target), AllowedResponseTarget})
	}
	if math.IsNaN(v.TargetShare) || v.TargetShare < 0 || v.TargetShare > 1 {
		out = append(out, FieldError{"success", fmt.Sprint(v.TargetShare), AllowedTargetShare})
	}
	return out
}

// ValidName reports whether name is a valid name of a class or a team.
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
