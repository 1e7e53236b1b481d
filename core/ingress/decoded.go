package ingress

import "bytes"

// Costs of the parts of a decoded job: an object of JSON becomes at most a step, an element
// at most the header of a payload, each with its copy while the list grows. A job has a
// limited number of both.
const (
	maxParts          = 570
	decodedObjectCost = 512
	decodedItemCost   = 48
	// servedStepCost and servedTaskCost are those of a step and a payload's header without the
	// copies, in lists with room to grow.
	servedStepCost = 256
	servedTaskCost = 32
)

// ServedCost returns how many bytes of memory a job takes that was decoded, until its answer:
// its texts and payloads of the given size, its steps and its tasks.
func ServedCost(bytes int64, steps, tasks int) int64 {
	return bytes + servedStepCost*int64(steps) + servedTaskCost*int64(tasks)
}

// DecodedCost returns how many bytes of memory a job takes at most while its JSON is decoded
// and served, besides the JSON. Decoders bound the length of each list.
func DecodedCost(json []byte) int64 {
	objects := min(bytes.Count(json, []byte("{")), maxParts)
	items := min(bytes.Count(json, []byte(",")), maxParts)
	return int64(len(json)) + decodedObjectCost*int64(objects) + decodedItemCost*int64(items)
}
