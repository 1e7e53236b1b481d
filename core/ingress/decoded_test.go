package ingress

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against jobs that keep what their decoding took at most until they are answered.
func TestServedJobTakesLessThanItsDecoding(t *testing.T) {
	const steps = maxParts
	json := []byte("[" + strings.Repeat(`{"count":1,"cpu":100},`, steps) + "{}]")
	assert.Assert(t, 2*ServedCost(int64(len(json)), steps, 0) <= DecodedCost(json)+int64(len(json)))
}
