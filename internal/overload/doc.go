// Package overload holds tests that start an entry and an agent as processes of their own
// and load their listeners with callers that the system does not control. The tests check
// what does not depend on the speed of the machine: that the process lives, that its memory
// and its descriptors stay under the limits of its settings file, and that an ordinary
// request is answered while the load is there. They run alone, one after the other.
package overload
