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

// operation is one call of an operator, including its retries.
type operation struct {
	// read operations return the revision. The others take a data centre out of
	// service or bring it back if the revision is the expected one.
	read   bool
	expect uint64
}

// outcome is the result that the operator received.
type outcome struct {
	revision uint64
	conflict bool
	// unknown is set if no response arrived: the operation may have taken effect
	// or take effect at any later time.
	unknown bool
}

// registerModel models the configuration revision as a register with
// compare-and-set.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(uint64), input.(operation), output.(outcome)
		switch {
		case in.read:
			return out.unknown || out.revision == current, current
		case out.conflict:
			return in.expect != current, current
		case out.unknown:
			// The operation may have taken effect, which is possible only at the
			// expected revision. One without effect is linearized at another.
			if in.expect == current {
				return true, current + 1
			}
			return true, current
		}
		return in.expect == current && out.revision == current+1, current + 1
	},
	Equal: func(a, b any) bool { return a == b },
}

// operators are concurrent clients that change the configuration with
// compare-and-set on its revision.
type operators struct {
	c     *cluster
	start time.Time
	// mu guards ops.
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (o *operators) record(client int, in operation, call time.Duration, out outcome) {
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

// read reads the revision from one VM and records the operation if it succeeds.
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
	o.record(client, operation{read: true}, call, outcome{revision: a.Revision})
	return a.Revision, true
}

// change sends one change and retries it at other VMs under the same operation id
// while its outcome is unknown.
func (o *operators) change(client, n int, bases []string, expect uint64) {
	in := operation{expect: expect}
	op := api.Operation{OpID: fmt.Sprintf("op-%d-%d", client, n), Actor: fmt.Sprint("operator-", client), ExpectRevision: &expect}
	body, _ := json.Marshal(&op)
	action := "out"
	if n%2 == 1 {
		action = "in"
	}
	path := strings.NewReplacer("{dc}", dcName(1+client%dataCentres), "{action}", action).Replace(api.PathDataCentre)
	call := time.Since(o.start)
	for attempt := range 6 {
		out, known := o.send(bases[(client+n+attempt)%len(bases)]+path, body)
		if known {
			if out.revision == expect && !out.conflict {
				// The data centre was in this state already: the response only
				// reports the revision.
				in = operation{read: true}
			}
			o.record(client, in, call, out)
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	o.record(client, in, call, outcome{unknown: true})
}

// send makes one attempt. It returns false while the change may still take
// effect.
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

// TestRacingOperators checks that concurrent compare-and-set operations through
// all VMs, with retries after lost responses, are linearizable while leaders are
// killed, frozen and isolated.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 40)
	c.bringUp()
	var bases []string
	eachVM(func(dc, vm int) { bases = append(bases, "http://"+c.ip(dc, vm)+":7200") })
	o := &operators{c: c, start: time.Now()}
	initial, ok := o.read(0, bases[0])
	if !ok || initial == 0 {
		t.Fatal("reading the initial revision failed")
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for client := range 5 {
		wg.Go(func() { o.run(client, bases, stop) })
	}
	injectLeaderFaults(c)
	close(stop)
	wg.Wait()
	model := registerModel
	model.Init = func() any { return initial }
	if porcupine.CheckOperationsTimeout(model, o.ops, 60*time.Second) != porcupine.Ok {
		t.Errorf("the history of %d operations is not linearizable", len(o.ops))
	}
	t.Logf("%d operations", len(o.ops))
	o.checkDetection(t, model)
}

// run reads the revision and changes the configuration until stop is closed.
func (o *operators) run(client int, bases []string, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		if revision, ok := o.read(client, bases[(client+n)%len(bases)]); ok {
			o.change(client, n, bases, revision)
		}
	}
}

func injectLeaderFaults(c *cluster) {
	time.Sleep(2 * time.Second)
	dc, vm := c.leaderOf(0)
	c.kill(controlName(dc, vm))
	time.Sleep(3 * time.Second)
	c.restart(controlName(dc, vm))
	time.Sleep(2 * time.Second)
	dc, vm = c.leaderOf(0)
	c.pause(controlName(dc, vm))
	time.Sleep(4 * time.Second)
	c.resume(controlName(dc, vm))
	time.Sleep(2 * time.Second)
	dc, vm = c.leaderOf(0)
	c.isolateVM(dc, vm, true)
	time.Sleep(5 * time.Second)
	c.isolateVM(dc, vm, false)
	time.Sleep(3 * time.Second)
}

// checkDetection verifies that the checker rejects the history if one change is
// recorded twice or with a wrong revision.
func (o *operators) checkDetection(t *testing.T, model porcupine.Model) {
	for i, op := range o.ops {
		out := op.Output.(outcome)
		if op.Input.(operation).read || out.conflict || out.unknown {
			continue
		}
		duplicated := append(append([]porcupine.Operation{}, o.ops...), op)
		if porcupine.CheckOperationsTimeout(model, duplicated, 60*time.Second) == porcupine.Ok {
			t.Error("the checker accepted a change that was applied twice")
		}
		altered := append([]porcupine.Operation{}, o.ops...)
		altered[i].Output = outcome{revision: out.revision + 1}
		if porcupine.CheckOperationsTimeout(model, altered, 60*time.Second) == porcupine.Ok {
			t.Error("the checker accepted a change with a wrong revision")
		}
		return
	}
}
