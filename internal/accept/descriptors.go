package accept

import (
	"math"

	"golang.org/x/sys/unix"
)

// Descriptors returns the number of file descriptors that the process may open, as it is now: an operator can change
// it while the process runs.
func Descriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}
