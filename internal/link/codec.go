package link

import "github.com/fxamacker/cbor/v2"

// Bounds of decoded data.
const (
	// maxArrayElements admits a query for a whole window (4,096 attempts) and
	// the results of one.
	maxArrayElements = 8192
	// maxNestedLevels is the lowest that the codec allows; the deepest message,
	// an entry list in a hello, needs 3.
	maxNestedLevels = 4
	maxMapPairs     = 16 // no message contains a map; the lowest that the codec allows
)

var (
	decoder = mustDecMode()
	encoder = mustEncMode()
)

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxNestedLevels:  maxNestedLevels,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// checker is implemented by messages with limits of their own.
type checker interface{ Check() error }

// Encode returns the frame body of v.
func Encode(v any) ([]byte, error) { return encoder.Marshal(v) }

// Decode parses one frame body into v, which must be a pointer. It rejects
// trailing bytes and messages beyond the limits of core/wire.
func Decode(body []byte, v any) error {
	if err := decoder.Unmarshal(body, v); err != nil {
		return err
	}
	if c, ok := v.(checker); ok {
		return c.Check()
	}
	return nil
}
