// Package infra provides HTTP clients for the platform's services: the append-only
// log, the instance list and the weight store. The clients limit the size of every
// response and end a call when its context ends. They never retry: after a lost
// response only the caller can find out whether the call took effect.
//
// All clients are safe for concurrent use.
package infra
