//go:build proof

package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"kumquatwing/internal/api"
	"kumquatwing/internal/verdict"
)

// change is one operator's operation with all its resends.
type change struct {
	// read operations return the revision; others take a data centre in or out
	// at the expected revision.
	read   bool
	expect uint64
}

// outcome is what the operator was told.
type outcome struct {
	revision uint64
	conflict bool
	// unknown operations may take effect at any later time.
	unknown bool
}

// registerModel is the configuration revision as a register with compare-and-set.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		at, in, out := state.(uint64), input.(change), output.(outcome)
		switch {
		case in.read:
			return out.unknown || out.revision == at, at
		case out.conflict:
			return in.expect != at, at
		case out.unknown:
			// Both are possible; taking effect only matters where it matches.
			if in.expect == at {
				return true, at + 1
			}
			return true, at
		}
		return in.expect == at && out.revision == at+1, at + 1
	},
	Equal: func(a, b any) bool { return a == b },
}

// operators race each other with equal revisions.
type operators struct {
	c     *cluster
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (o *operators) note(client int, in change, call time.Duration, out outcome) {
	end := time.Since(o.start)
	if out.unknown {
		end = 1 << 60
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ops = append(o.ops, porcupine.Operation{
		ClientId: client, Input: in, Call: int64(call), Output: out, Return: int64(end),
	})
}

// read asks one VM for the revision.
func (o *operators) read(client int, base string) (uint64, bool) {
	call := time.Since(o.start)
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Get(base + api.PathSettings)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	var a api.SettingsAnswer
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&a) != nil {
		return 0, false
	}
	o.note(client, change{read: true}, call, outcome{revision: a.Revision})
	return a.Revision, true
}

// set sends one change, and resends it to other VMs under the same operation
// id while its outcome is not known.
func (o *operators) set(client, n int, bases []string, expect uint64) {
	in := change{expect: expect}
	op := api.Operation{OpID: fmt.Sprintf("op-%d-%d", client, n), Actor: fmt.Sprint("operator-", client), ExpectRevision: &expect}
	body, _ := json.Marshal(&op)
	action := "out"
	if n%2 == 1 {
		action = "in"
	}
	path := strings.NewReplacer("{dc}", dcName(1+client%dataCentres), "{action}", action).Replace(api.PathDataCentre)
	call := time.Since(o.start)
	for try := range 6 {
		out, known := o.send(bases[(client+n+try)%len(bases)]+path, body)
		if known {
			if out.revision == expect && !out.conflict {
				// Nothing was to be changed: the answer tells the revision alone.
				in = change{read: true}
			}
			o.note(client, in, call, out)
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	o.note(client, in, call, outcome{unknown: true})
}

// send makes one try; known is false while the change may yet take effect.
func (o *operators) send(url string, body []byte) (outcome, bool) {
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return outcome{}, false
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		var a api.OperationAnswer
		ok := json.NewDecoder(resp.Body).Decode(&a) == nil
		return outcome{revision: a.Revision}, ok
	}
	var r verdict.Refusal
	if json.NewDecoder(resp.Body).Decode(&r) != nil {
		return outcome{}, false
	}
	return outcome{conflict: true}, r.Reason == verdict.ReasonConflict
}

// TestRacingOperators lets operators race with equal revisions over all VMs,
// resending after lost answers, while leaders are killed, frozen and cut off.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 40)
	c.up()
	var bases []string
	eachVM(func(dc, vm int) { bases = append(bases, "http://"+c.ip(dc, vm)+":7200") })
	o := &operators{c: c, start: time.Now()}
	first, ok := o.read(0, bases[0])
	if !ok || first == 0 {
		t.Fatal("the revision can't be read")
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for client := range 5 {
		wg.Go(func() { o.race(client, bases, stop) })
	}
	raceFaults(c)
	close(stop)
	wg.Wait()
	model := registerModel
	model.Init = func() any { return first }
	if porcupine.CheckOperationsTimeout(model, o.ops, 60*time.Second) != porcupine.Ok {
		t.Errorf("the history of %d operations is not linearizable", len(o.ops))
	}
	t.Logf("%d operations", len(o.ops))
	o.breakHistory(t, model)
}

// race reads and changes until stop.
func (o *operators) race(client int, bases []string, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		if revision, ok := o.read(client, bases[(client+n)%len(bases)]); ok {
			o.set(client, n, bases, revision)
		}
	}
}

func raceFaults(c *cluster) {
	time.Sleep(2 * time.Second)
	dc, vm := c.leaderOf(0)
	c.kill(controlName(dc, vm))
	time.Sleep(3 * time.Second)
	c.again(controlName(dc, vm))
	time.Sleep(2 * time.Second)
	dc, vm = c.leaderOf(0)
	c.pause(controlName(dc, vm))
	time.Sleep(4 * time.Second)
	c.resume(controlName(dc, vm))
	time.Sleep(2 * time.Second)
	dc, vm = c.leaderOf(0)
	c.isolate(dc, vm, true)
	time.Sleep(5 * time.Second)
	c.isolate(dc, vm, false)
	time.Sleep(3 * time.Second)
}

// breakHistory makes sure that the checker sees a change that was taken twice
// and a read of an older revision.
func (o *operators) breakHistory(t *testing.T, model porcupine.Model) {
	for i, op := range o.ops {
		out := op.Output.(outcome)
		if op.Input.(change).read || out.conflict || out.unknown {
			continue
		}
		twice := append(append([]porcupine.Operation{}, o.ops...), op)
		if porcupine.CheckOperationsTimeout(model, twice, 60*time.Second) == porcupine.Ok {
			t.Error("a change taken twice passed the check")
		}
		broken := append([]porcupine.Operation{}, o.ops...)
		broken[i].Output = outcome{revision: out.revision + 1}
		if porcupine.CheckOperationsTimeout(model, broken, 60*time.Second) == porcupine.Ok {
			t.Error("a change with a wrong revision passed the check")
		}
		return
	}
}
