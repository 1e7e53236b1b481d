package config

import "fmt"

// Delta returns the part of an encoded state that changed after version since,
// in the encoding of a state. It reports false if the state cannot be told from
// its changes: it is no state, or the memory of a deletion after since was
// dropped, so that the deleted item would survive in the result.
func Delta(encoded []byte, since int64) ([]byte, bool) {
	s, err := DecodeState(encoded)
	if err != nil || s.floor > since {
		return nil, false
	}
	for key, it := range s.items {
		if it.Revision <= since {
			delete(s.items, key)
		}
	}
	return s.Encode(), true
}

// Merge applies a delta to an encoded state whose version is at least the
// version since which the delta holds all changes, and at most the delta's. The
// result equals the encoding of the state that the delta was taken from.
func Merge(encoded, delta []byte) ([]byte, error) {
	s, err := DecodeState(encoded)
	if err != nil {
		return nil, err
	}
	d, err := DecodeState(delta)
	if err != nil {
		return nil, err
	}
	if d.version < s.version || d.floor < s.floor {
		return nil, fmt.Errorf("config state: delta to version %d for version %d", d.version, s.version)
	}
	for _, it := range d.items {
		s.put(it)
	}
	s.floor, s.version = d.floor, d.version
	for key, it := range s.items {
		if it.Deleted && it.Revision <= s.floor {
			delete(s.items, key)
		}
	}
	return s.Encode(), nil
}
