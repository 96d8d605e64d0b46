package testbed

import (
	"net"
	"strconv"
	"testing"
)

// Guards against a daemon that fails with "address already in use" because another
// Bed was given the same address before the daemon listened, or between its end and
// its restart.
func TestFreeAddressIsReserved(t *testing.T) {
	address, err := FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(text)
	for range 2 {
		if reservePort(port) == nil {
			t.Error("a reserved port was reserved again")
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatalf("listen on a reserved port: %v", err)
		}
		if reservePort(port) == nil {
			t.Error("a port with a listener was reserved")
		}
		l.Close()
	}
}
