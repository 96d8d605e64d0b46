// Package failure contains end-to-end fault-injection tests. They run daemons and
// stand-ins for the platform and the upstreams as processes, inject one or two
// faults while a request, a bundle version or an order to an engine is at a given
// step, and check the guarantees of the system by the state of callers, engines,
// services and the log afterwards. The name of a test ends in /STEP/FAULT or
// /STEP/FAULT+FAULT, by which package matrix assigns it to a cell of the fault
// matrix.
package failure
