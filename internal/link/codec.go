package link

import "github.com/fxamacker/cbor/v2"

// Limits of decoded data.
const (
	// maxArrayElements is large enough for a query about a whole window (4,096
	// attempts) and for the results of a whole window.
	maxArrayElements = 8192
	// maxNestedLevels is what the most deeply nested message needs: a frame with the
	// neighbours of a result.
	maxNestedLevels = 5
	maxMapPairs     = 16 // the minimum that the codec accepts; no message contains a map
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

// validator is implemented by messages that have limits of their own.
type validator interface{ Check() error }

// Encode returns the frame body of v.
func Encode(v any) ([]byte, error) { return encoder.Marshal(v) }

// Decode decodes one frame body into v, which must be a pointer. It rejects
// trailing bytes and messages that exceed the limits of core/wire.
func Decode(body []byte, v any) error {
	if err := decoder.Unmarshal(body, v); err != nil {
		return err
	}
	if c, ok := v.(validator); ok {
		return c.Check()
	}
	return nil
}
