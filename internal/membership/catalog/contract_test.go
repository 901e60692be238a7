package catalog

import (
	"log/slog"
	"testing"

	"fernlanding/internal/membership"
	"fernlanding/internal/membership/contract"
	"fernlanding/internal/standin"
)

// registry is the platform's discovery in the hands of the contract's suite.
type registry struct{ d *standin.Discovery }

func (r registry) Put(all ...membership.Endpoint) { r.d.Put(standin.Members(all)...) }

func (r registry) Delete(names ...string) { r.d.Delete(names...) }

func (r registry) Break(n int) (string, bool) {
	switch n {
	case 0:
		r.d.Down(true)
		return "discovery is down", true
	case 1:
		r.d.Silent(true)
		return "discovery is silent", true
	}
	return "", false
}

func (r registry) Mend() {
	r.d.Down(false)
	r.d.Silent(false)
}

func TestContract(t *testing.T) {
	contract.Test(t, func(t *testing.T) (membership.Source, contract.Registry) {
		d, err := standin.NewDiscovery()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Close)
		return New(Config{Address: d.Addr(), Log: slog.New(slog.DiscardHandler)}), registry{d}
	})
}
