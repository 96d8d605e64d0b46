// Package admission orders, over all daemons, the requests that wait for room at the decode engines
// of a pool. One daemon, the pool's coordinator, holds their queue and hands out turns: short-lived
// permissions to ask engines for a reservation. The engine's answer alone decides whether there is
// room, so that two coordinators at once, or none, cost only refused reservations.
//
// Queue is the coordinator's state of one pool; it does no I/O and reads no clock. Server runs it for
// the other daemons, and Client is the side of a daemon whose requests wait.
package admission
