// Package faultmatrix injects every fault of docs/design.md 1.5 at every step of
// a request and of a configuration change, and checks the promises P1 to P8.
//
// A simulation runs the state machines of entries and agents, claim tables and
// configurations in one goroutine over virtual time. A fault can thus be injected
// exactly at a step, and a seed determines the execution. Further tests run real
// processes. docs/fault-matrix.md lists the cells of the matrix; a test compares
// it with the cells that are run.
package faultmatrix
