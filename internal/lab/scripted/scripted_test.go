package scripted

import (
	"net"
	"os/exec"
	"sync"
	"testing"
)

// Guards against "address already in use" in tests that start processes: an address that FreeAddress returned could not be
// listened on while a child that was forked meanwhile still had the descriptor.
func TestFreeAddressWhileProcessesStart(t *testing.T) {
	const starters, addresses = 3, 2000
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for range starters {
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range addresses {
		address := FreeAddress(t)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("%s is not free: %v", address, err)
			break
		}
		listener.Close()
	}
	close(stop)
	wait.Wait()
}
