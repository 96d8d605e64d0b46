// Package loadgen sends open-loop, seeded load to a list of daemons and checks
// every answer. Arrivals follow a Poisson process and never wait for answers, so
// that a slow system meets the same load as a fast one. Latencies count from the
// scheduled arrival, not from the moment the request could be written.
//
// A request has exactly one Outcome. Verify decides it from what the caller saw;
// Ledger decides whether a non-idempotent key ran more than once, from what the
// service itself counted.
package loadgen
