// Package faultmatrix tests every fault of docs/design.md 1.5 at every step of
// a request and of a configuration change, against the promises P1 to P8.
//
// The tests connect the state machines of entries and agents, claim tables and
// configurations in one goroutine over virtual time, so that a fault can be
// injected exactly at a step and one seed yields one execution. Matrix cells
// are listed in docs/fault-matrix.md, which the tests compare with the cells
// that they run.
package faultmatrix
