package catalog

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// A shared service that says when to come back is left alone until then, though the module asks at once; but not for so long that what it has at its return is told too late.
func TestAWatchIsNotRepeatedBeforeItsRetryAfter(t *testing.T) {
	t.Parallel()
	var r refusals
	addr := script(t, func(n int, w http.ResponseWriter, req *http.Request) {
		r.came()
		if from := req.URL.Query().Get("from"); n > 1 && from != "1" {
			t.Errorf("call %d is %s", n, req.URL)
		}
		switch n {
		case 1:
			fmt.Fprint(w, oneServes)
		case 2:
			r.refuse(w, "1")
		case 3:
			r.refuse(w, "3600")
		case 4:
			fmt.Fprint(w, `{"index":1,"snapshot":false,"endpoints":[]}`)
		default:
			<-req.Context().Done()
		}
	})
	word := make(chan struct{}, 10)
	d := asks(addr)
	d.cfg.Asked = word
	lists := make(listed, 10)
	follow(t, d, words{lists, word})
	next(t, lists, "the first list")
	next(t, lists, "the answer of the watch that was opened anew")
	r.atLeast(t, time.Second, mostHonoured)
}

// A copy that begins with no list, which its module does not ask for, waits longer after each refusal.
func TestFirstCallsThatAreTurnedAwayAreSpacedMoreAndMore(t *testing.T) {
	t.Parallel()
	var r refusals
	addr := script(t, func(n int, w http.ResponseWriter, req *http.Request) {
		r.came()
		switch {
		case n <= 3:
			r.refuse(w, "")
		case n == 4:
			fmt.Fprint(w, oneServes)
		default:
			<-req.Context().Done()
		}
	})
	lists := make(listed, 10)
	follow(t, asks(addr), lists)
	next(t, lists, "the first list")
	r.atLeast(t, askBackoff.first/2, refusedGrowth*askBackoff.first/2, askBackoff.most/2)
}
