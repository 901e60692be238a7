package config

import (
	"fmt"
	"testing"
)

// The sum of all bounds is within the limits that the platform gives a process.
func TestMemoryBoundsFitLimits(t *testing.T) {
	for _, memoryMB := range []int64{32, 48, 64, 96, 192} {
		for _, sockets := range []int{256, 512, 1024} {
			app := &App{
				Kind: Platform, Process: Process{MemoryMB: float64(memoryMB), Sockets: sockets},
				Services: []*Service{{Name: PlatformService, MaxBody: 64 << 10, MaxResponse: 1 << 20}},
			}
			name := fmt.Sprintf("%d MB, %d sockets", memoryMB, sockets)
			b, err := app.MemoryBounds()
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if b.Live() > b.GarbageLimit {
				t.Errorf("%s: live memory of %d bytes exceeds the runtime's limit: %+v", name, b.Live(), b)
			}
			if b.Peak() > memoryMB<<20 {
				t.Errorf("%s: peak of %d bytes exceeds the limit: %+v", name, b.Peak(), b)
			}
		}
	}
}
