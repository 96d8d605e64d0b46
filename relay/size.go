package relay

// FleetSize returns how many daemons a fleet has, from those that are heard of in each data
// centre. One of which nothing is heard is taken to be as large as the largest that is
// known.
//
// What goes wrong otherwise: all daemons are killed while a data centre is cut off, each
// side counts itself alone afterwards, and each takes what all share for its own.
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
