// Package infra holds the clients of the platform's services: the
// append-only log, the instance list and the weight store. They speak JSON over
// HTTP, bound the size of every answer and end with their context. They never
// retry by themselves: after a lost reply only the caller knows how to find out
// whether the call took effect.
//
// All clients are safe for concurrent use.
package infra
