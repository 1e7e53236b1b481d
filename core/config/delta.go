package config

import "fmt"

// Delta returns the items of an encoded state that changed after version since,
// encoded as a state. It returns false if encoded is not a valid state, or if
// the tombstone of an item deleted after since was already compacted: a reader
// that merged the delta would keep that item.
func Delta(encoded []byte, since int64) ([]byte, bool) {
	s, err := DecodeState(encoded)
	if err != nil || s.compactRevision > since {
		return nil, false
	}
	for key, it := range s.items {
		if it.Revision <= since {
			delete(s.items, key)
		}
	}
	return s.Encode(), true
}

// Merge applies a delta to an encoded state. The version of the state must lie
// between the version passed to Delta and the version of the delta, inclusive.
// The result equals the encoding of the state that the delta was taken from.
func Merge(encoded, delta []byte) ([]byte, error) {
	s, err := DecodeState(encoded)
	if err != nil {
		return nil, err
	}
	d, err := DecodeState(delta)
	if err != nil {
		return nil, err
	}
	if d.version < s.version || d.compactRevision < s.compactRevision {
		return nil, fmt.Errorf("config state: delta to version %d does not apply to version %d", d.version, s.version)
	}
	for _, it := range d.items {
		s.put(it)
	}
	s.compactRevision, s.version = d.compactRevision, d.version
	for key, it := range s.items {
		if it.Deleted && it.Revision <= s.compactRevision {
			delete(s.items, key)
		}
	}
	return s.Encode(), nil
}
