// Package failure proves what must always hold, end to end: its tests run real
// daemons and stand-ins as processes, cause one fault or a pair at a step, and
// check what callers, engines, services and the log show afterwards. A test's
// name ends in /STEP/FAULT or /STEP/FAULT+FAULT, which places it in the fault
// matrix.
package failure
