package config

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
)

// Item is one item with its revision.
type Item struct {
	Key      Key
	Revision int64
	ID       ID // of the change that won
	Deleted  bool
	Value    Value
}

// State is the whole configuration at one version.
type State struct {
	maxItems int
	items    map[Key]Item // deleted items included
	classes  int
	teams    int
	// floor is the revision of an item that has no entry in items. It rises
	// when the memory of an old deletion is dropped, so that a replayed
	// creation from before that deletion has a base that is too low.
	floor   int64
	version int64
}

// maxDeleted bounds the remembered deletions.
const maxDeleted = 1000

func newState(maxItems int) *State {
	return &State{maxItems: maxItems, items: make(map[Key]Item)}
}

// Version returns the version: 1 plus the offset of the last accepted record.
func (s *State) Version() int64 { return s.version }

// Get returns an item that exists.
func (s *State) Get(k Key) (Item, bool) {
	it, ok := s.items[k]
	return it, ok && !it.Deleted
}

// Revision returns the base that the next change of an item must state.
func (s *State) Revision(k Key) int64 {
	if it, ok := s.items[k]; ok {
		return it.Revision
	}
	return s.floor
}

// Items returns the existing items ordered by kind and name.
func (s *State) Items() []Item {
	out := s.sorted()
	return slices.DeleteFunc(out, func(it Item) bool { return it.Deleted })
}

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
				Name: it.Key.Name, Within: time.Duration(v.WithinMicros) * time.Microsecond, Success: v.Success,
			})
		case KindTeam:
			out.Teams = append(out.Teams, policy.Team{Name: it.Key.Name, Quota: int(v.Quota)})
		case KindEmphasis:
			out.Emphasis = policy.Emphasis(v.Emphasis)
		}
	}
	return out
}

// Check returns the faults of a change against this state, apart from its
// base: its own faults, a limit on the number of items, deleting what does not
// exist.
func (s *State) Check(c *Change) []Fault {
	out := c.Faults()
	_, exists := s.Get(c.Key())
	switch {
	case c.Deleted && !exists && c.Kind != KindEmphasis:
		out = append(out, Fault{"name", fmt.Sprintf("%q", c.Name), "the name of an existing " + c.Kind.String()})
	case !c.Deleted && !exists && s.count(c.Kind) >= s.maxItems:
		out = append(out, Fault{c.Kind.String(), fmt.Sprintf("%d existing", s.count(c.Kind)),
			fmt.Sprintf("at most %d", s.maxItems)})
	}
	return out
}

func (s *State) count(k Kind) int {
	switch k {
	case KindClass:
		return s.classes
	case KindTeam:
		return s.teams
	}
	return 0
}

// put stores an item and keeps the counts.
func (s *State) put(it Item) {
	s.addCount(s.items[it.Key], -1)
	s.items[it.Key] = it
	s.addCount(it, +1)
	s.version = max(s.version, it.Revision)
}

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

// dropDeleted forgets the oldest deletions beyond maxDeleted.
func (s *State) dropDeleted() {
	deleted := len(s.items) - s.classes - s.teams
	if _, ok := s.Get(Key{Kind: KindEmphasis}); ok {
		deleted--
	}
	for ; deleted > maxDeleted; deleted-- {
		var oldest Item
		for _, it := range s.items {
			if it.Deleted && (oldest.Revision == 0 || it.Revision < oldest.Revision) {
				oldest = it
			}
		}
		delete(s.items, oldest.Key)
		s.floor = max(s.floor, oldest.Revision)
	}
}

// wireItem is one item in the encoded state.
type wireItem struct {
	_        struct{} `cbor:",toarray"`
	Kind     Kind
	Name     string
	Revision int64
	ID       ID
	Deleted  bool
	Value    Value
}

// wireState is the encoded state.
type wireState struct {
	_       struct{} `cbor:",toarray"`
	Format  uint32
	Version int64
	Floor   int64
	Items   []wireItem // ordered by kind and name
}

// Encode returns the state's encoding. Equal states have equal encodings.
func (s *State) Encode() []byte {
	w := wireState{Format: Format, Version: s.version, Floor: s.floor, Items: make([]wireItem, 0, len(s.items))}
	for _, it := range s.sorted() {
		w.Items = append(w.Items, wireItem{
			Kind: it.Key.Kind, Name: it.Key.Name, Revision: it.Revision,
			ID: it.ID, Deleted: it.Deleted, Value: it.Value,
		})
	}
	body, err := encMode.Marshal(w)
	if err != nil {
		panic("config: state cannot be encoded: " + err.Error()) // only on a type that CBOR cannot express
	}
	return body
}

// DecodeState parses an encoded state and checks every item.
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
	if w.Version < 0 || w.Floor < 0 || w.Floor > w.Version {
		return nil, fmt.Errorf("config state: version %d with floor %d", w.Version, w.Floor)
	}
	s := newState(maxItems)
	s.floor = w.Floor
	var last Key
	for i := range w.Items {
		it, err := w.Items[i].item(w.Version)
		if err != nil {
			return nil, err
		}
		if i > 0 && !before(last, it.Key) {
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

func before(a, b Key) bool {
	return a.Kind < b.Kind || a.Kind == b.Kind && a.Name < b.Name
}

func (w *wireItem) item(version int64) (Item, error) {
	c := Change{Kind: w.Kind, Name: w.Name, Deleted: w.Deleted, Value: w.Value}
	if f := c.Faults(); len(f) > 0 {
		return Item{}, fmt.Errorf("config state: %s: %w", c.Key(), f[0])
	}
	if w.Revision <= 0 || w.Revision > version {
		return Item{}, fmt.Errorf("config state: %s has revision %d in version %d", c.Key(), w.Revision, version)
	}
	return Item{Key: c.Key(), Revision: w.Revision, ID: w.ID, Deleted: w.Deleted, Value: w.Value}, nil
}
