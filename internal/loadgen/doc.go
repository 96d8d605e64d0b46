// Package loadgen is an open-loop load generator for tests and measurements. It sends seeded, reproducible load to a
// list of daemons and verifies every response. Arrivals follow a Poisson process and do not
// wait for earlier responses, so a slow system receives the same load as a fast one.
// Latencies are measured from the scheduled arrival rather than from when the request was
// written, so that a delay in sending counts too.
//
// Each request has exactly one Outcome. Verify determines it from the response that the
// caller received. LedgerReport compares these outcomes with the executions that the
// services counted, and so detects idempotency keys that were executed more than once.
package loadgen
