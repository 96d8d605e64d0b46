package router

import "testing"

// Guards against small instances whose heap, with the program and the kernel's buffers, exceeds their memory.
func TestMemoryLimitLeavesRoom(t *testing.T) {
	const megabyte = 1 << 20
	for _, tc := range []struct {
		megabytes int
		received  int64
		most      int64
	}{{112, 14 * megabyte, 70 * megabyte}, {512, 64 * megabyte, 359 * megabyte}} {
		if limit := memoryLimit(tc.megabytes, tc.received); limit > tc.most || limit < tc.most-megabyte {
			t.Errorf("%d MB: the heap may have %d MB, want %d", tc.megabytes, limit/megabyte, tc.most/megabyte)
		}
	}
}
