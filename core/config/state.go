package config

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
)

// Item is one item of the configuration.
type Item struct {
	Key      Key
	Revision int64
	ID       ID // of the change that set this revision
	Deleted  bool
	Value    Value
}

// State is the whole configuration at one version.
type State struct {
	maxItems int
	items    map[Key]Item // including tombstones, which have Deleted set
	classes  int
	teams    int
	// compactRevision is the revision reported for keys that have no entry in
	// items. It rises when an old tombstone is compacted, so that a replay of a
	// creation from before that deletion conflicts: its base is too low.
	compactRevision int64
	version         int64
}

// maxTombstones bounds the tombstones that are kept.
const maxTombstones = 1000

func newState(maxItems int) *State {
	return &State{maxItems: maxItems, items: make(map[Key]Item)}
}

// Version returns the version: 1 plus the offset of the last accepted record.
func (s *State) Version() int64 { return s.version }

// Get returns an item. It returns false if the item does not exist or was deleted.
func (s *State) Get(k Key) (Item, bool) {
	it, ok := s.items[k]
	return it, ok && !it.Deleted
}

// Revision returns the base revision that the next change of the item must state.
func (s *State) Revision(k Key) int64 {
	if it, ok := s.items[k]; ok {
		return it.Revision
	}
	return s.compactRevision
}

// Items returns the items that are not deleted, ordered by kind and name.
func (s *State) Items() []Item {
	out := s.sorted()
	return slices.DeleteFunc(out, func(it Item) bool { return it.Deleted })
}

// sorted returns all items, including tombstones, ordered by kind and name.
func (s *State) sorted() []Item {
	out := make([]Item, 0, len(s.items))
	for _, it := range s.items {
		out = append(out, it)
	}
	slices.SortFunc(out, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Key.Kind, b.Key.Kind), cmp.Compare(a.Key.Name, b.Key.Name))
	})
	return out
}

// Settings returns the configuration in the form that the policy takes.
func (s *State) Settings() policy.Settings {
	var out policy.Settings
	for _, it := range s.Items() {
		v := it.Value
		switch it.Key.Kind {
		case KindClass:
			out.Classes = append(out.Classes, policy.Class{
				Name: it.Key.Name, ResponseTarget: time.Duration(v.ResponseTargetMicros) * time.Microsecond, TargetShare: v.TargetShare,
			})
		case KindTeam:
			out.Teams = append(out.Teams, policy.Team{Name: it.Key.Name, Quota: int(v.Quota)})
		case KindEmphasis:
			out.Emphasis = policy.Emphasis(v.Emphasis)
		}
	}
	return out
}

// Validate validates a change against this state and returns all errors: those of
// Change.Validate, an exceeded limit on the number of items, and a deletion of an
// item that does not exist. It does not compare the base revision.
func (s *State) Validate(c *Change) []FieldError {
	out := c.Validate()
	_, exists := s.Get(c.Key())
	switch {
	case c.Deleted && !exists && c.Kind != KindEmphasis:
		out = append(out, FieldError{"name", fmt.Sprintf("%q", c.Name), "the name of an existing " + c.Kind.String()})
	case !c.Deleted && !exists && s.count(c.Kind) >= s.maxItems:
		out = append(out, FieldError{c.Kind.String(), fmt.Sprintf("%d existing", s.count(c.Kind)),
			fmt.Sprintf("at most %d", s.maxItems)})
	}
	return out
}

// count returns the number of classes or teams that are not deleted.
func (s *State) count(k Kind) int {
	switch k {
	case KindClass:
		return s.classes
	case KindTeam:
		return s.teams
	}
	return 0
}

// put stores an item and updates the counts and the version.
func (s *State) put(it Item) {
	s.addCount(s.items[it.Key], -1)
	s.items[it.Key] = it
	s.addCount(it, +1)
	s.version = max(s.version, it.Revision)
}

// addCount adds n to the count of the item's kind, unless the item is a tombstone.
func (s *State) addCount(it Item, n int) {
	if it.Deleted {
		return
	}
	switch it.Key.Kind {
	case KindClass:
		s.classes += n
	case KindTeam:
		s.teams += n
	}
}

// compactTombstones removes the oldest tombstones beyond maxTombstones.
func (s *State) compactTombstones() {
	deleted := len(s.items) - s.classes - s.teams
	if _, ok := s.Get(Key{Kind: KindEmphasis}); ok {
		deleted--
	}
	for ; deleted > maxTombstones; deleted-- {
		var oldest Item
		for _, it := range s.items {
			if it.Deleted && (oldest.Revision == 0 || it.Revision < oldest.Revision) {
				oldest = it
			}
		}
		delete(s.items, oldest.Key)
		s.compactRevision = max(s.compactRevision, oldest.Revision)
	}
}

// wireItem is the encoding of an Item.
type wireItem struct {
	_        struct{} `cbor:",toarray"`
	Kind     Kind
	Name     string
	Revision int64
	ID       ID
	Deleted  bool
	Value    Value
}

// wireState is the encoding of a State.
type wireState struct {
	_               struct{} `cbor:",toarray"`
	Format          uint32
	Version         int64
	CompactRevision int64
	Items           []wireItem // ordered by kind and name
}

// Encode returns the state's encoding. Equal states have equal encodings.
func (s *State) Encode() []byte {
	w := wireState{Format: Format, Version: s.version, CompactRevision: s.compactRevision, Items: make([]wireItem, 0, len(s.items))}
	for _, it := range s.sorted() {
		w.Items = append(w.Items, wireItem{
			Kind: it.Key.Kind, Name: it.Key.Name, Revision: it.Revision,
			ID: it.ID, Deleted: it.Deleted, Value: it.Value,
		})
	}
	body, err := encMode.Marshal(w)
	if err != nil { // not reached: CBOR can express all types of wireState
		panic("config: state cannot be encoded: " + err.Error())
	}
	return body
}

// DecodeState parses an encoded state and validates every item. It refuses a state
// of more than DefaultMaxItems classes or teams.
func DecodeState(body []byte) (*State, error) {
	return decodeState(body, DefaultMaxItems)
}

func decodeState(body []byte, maxItems int) (*State, error) {
	var w wireState
	if err := decMode.Unmarshal(body, &w); err != nil {
		return nil, fmt.Errorf("config state: %w", err)
	}
	if w.Format != Format {
		return nil, fmt.Errorf("config state: format %d, want %d", w.Format, Format)
	}
	if w.Version < 0 || w.CompactRevision < 0 || w.CompactRevision > w.Version {
		return nil, fmt.Errorf("config state: version %d with compact revision %d, want 0 <= compact revision <= version", w.Version, w.CompactRevision)
	}
	s := newState(maxItems)
	s.compactRevision = w.CompactRevision
	var last Key
	for i := range w.Items {
		it, err := w.Items[i].item(w.Version)
		if err != nil {
			return nil, err
		}
		if i > 0 && !keyLess(last, it.Key) {
			return nil, fmt.Errorf("config state: %s is out of order", it.Key)
		}
		last = it.Key
		s.put(it)
	}
	if s.classes > maxItems || s.teams > maxItems {
		return nil, fmt.Errorf("config state: %d classes and %d teams, at most %d each", s.classes, s.teams, maxItems)
	}
	s.version = w.Version
	return s, nil
}

func keyLess(a, b Key) bool {
	return a.Kind < b.Kind || a.Kind == b.Kind && a.Name < b.Name
}

// item validates the encoded item as part of a state of the given version.
func (w *wireItem) item(version int64) (Item, error) {
	c := Change{Kind: w.Kind, Name: w.Name, Deleted: w.Deleted, Value: w.Value}
	if f := c.Validate(); len(f) > 0 {
		return Item{}, fmt.Errorf("config state: %s: %w", c.Key(), f[0])
	}
	if w.Revision <= 0 || w.Revision > version {
		return Item{}, fmt.Errorf("config state: %s has revision %d in a state of version %d", c.Key(), w.Revision, version)
	}
	return Item{Key: c.Key(), Revision: w.Revision, ID: w.ID, Deleted: w.Deleted, Value: w.Value}, nil
}
