package relay

// FleetSize returns the number of daemons of a fleet from the numbers heard of in each data
// centre. A data centre of which nothing is heard is assumed to be as large as the largest
// known one.
//
// Otherwise, if all daemons are restarted while a data centre is partitioned, each side
// counts only itself, and each uses the whole of the fleet's shared limits.
func FleetSize(heard map[string]int, dataCentres []string) int {
	sum, largest := 0, 0
	for _, n := range heard {
		sum += n
		largest = max(largest, n)
	}
	for _, dc := range dataCentres {
		if heard[dc] == 0 {
			sum += largest
		}
	}
	return sum
}
