package front

import "testing"

// Unfinished requests leave room for finished ones, and all bytes are given back.
func TestUnfinishedRequestsLeaveRoom(t *testing.T) {
	memory := NewRequestMemory(100, 40)
	unfinished, finished := memory.NewClaim(), memory.NewClaim()
	if !unfinished.Resize(40) {
		t.Fatal("no room for 40 bytes of an unfinished request")
	}
	if unfinished.Resize(41) {
		t.Error("unfinished requests got 41 bytes, want at most 40")
	}
	finished.Finish()
	if !finished.Resize(60) {
		t.Error("no room for 60 bytes of a finished request")
	}
	if finished.Resize(61) {
		t.Error("requests got 101 bytes, want at most 100")
	}
	if all, part := memory.InUse(); all != 100 || part != 40 {
		t.Errorf("in use: got %d, unfinished %d, want 100 and 40", all, part)
	}
	unfinished.Finish()
	if all, part := memory.InUse(); all != 100 || part != 0 {
		t.Errorf("after the end of a request: got %d, unfinished %d, want 100 and 0", all, part)
	}
	unfinished.Release()
	finished.Resize(10)
	finished.Release()
	if all, part := memory.InUse(); all != 0 || part != 0 {
		t.Errorf("after the release: got %d, unfinished %d, want 0", all, part)
	}
}
