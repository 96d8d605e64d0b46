package relay

import "time"

// FleetSize returns the number of daemons of a fleet. knownDaemons is the known number of
// daemons of each data centre, and dataCentres are all data centres. A data centre without a
// known daemon is assumed to have as many daemons as the largest known one.
//
// If it were assumed to be empty, and all daemons were restarted while that data centre is
// partitioned from the others, each side of the partition would count only its own daemons
// and use the whole of the fleet's shared limits.
func FleetSize(knownDaemons map[string]int, dataCentres []string) int {
	sum, largest := 0, 0
	for _, n := range knownDaemons {
		sum += n
		largest = max(largest, n)
	}
	for _, dc := range dataCentres {
		if knownDaemons[dc] == 0 {
			sum += largest
		}
	}
	return sum
}

// IsSmall reports whether the fleet is too small to need readers.
func (r *Roster) IsSmall(now time.Time) bool { return r.FleetSize(now) < minFleet }
