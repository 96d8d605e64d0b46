package testbed

import (
	"net"
	"strconv"
	"testing"
)

// Symptom: a daemon of a test ends with "address already in use".
// Sequence: two beds are given addresses before either's daemon listens; the
// daemon ends and starts again.
// Cause: an address that is only looked at, not held.
func TestFreeAddressIsHeld(t *testing.T) {
	address, err := FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(text)
	for range 2 {
		if hold(port) == nil {
			t.Error("the address was given out again")
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatalf("its own program cannot listen: %v", err)
		}
		if hold(port) == nil {
			t.Error("the address was given out while it is listened on")
		}
		l.Close()
	}
}
