package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/cell/plan"
)

// TestOrderReports guards against an order at work that operators can't see, against a line
// for each plan, and against a step that is counted as hopeless by each plan.
func TestOrderReports(t *testing.T) {
	r := newRig(t, oneTask)
	core, logs := observer.New(zap.InfoLevel)
	registry := prometheus.NewRegistry()
	r.cfg.Log, r.cfg.Metrics = zap.New(core), NewMetrics(registry)
	r.lead()
	out := &plan.Output{Standings: map[string]*[plan.Hopeless + 1]int{"q": {plan.OnTime: 3, plan.HeldBack: 2, plan.Hopeless: 6}}}
	for i := range 6 {
		key := cell.StepKey{Job: cell.JobID(fmt.Sprint("j", i))}
		out.Hopeless = append(out.Hopeless, plan.HopelessStep{Key: key, Queue: "q", Reason: plan.ReasonQueue})
	}
	for range 5 {
		r.reportOrder(out, r.now())
	}
	count := func(message string) int { return logs.FilterMessage(message).Len() }
	qt.Check(t, count("capacity doesn't suffice for all waiting steps in time"), qt.Equals, 1)
	qt.Check(t, count("job is expected to end after three times its objective"), qt.Equals, maxHopelessLogged)
	qt.Check(t, metricValue(t, registry, "kq_cell_hopeless_steps_total", "queue"), qt.Equals, 6.0)
	qt.Check(t, metricValue(t, registry, "kq_cell_waiting_steps", "held-back"), qt.Equals, 2.0)

	r.reportOrder(&plan.Output{Standings: map[string]*[plan.Hopeless + 1]int{}}, r.now().Add(statusInterval))
	qt.Check(t, metricValue(t, registry, "kq_cell_waiting_steps", "held-back"), qt.Equals, 0.0)
	qt.Check(t, count("capacity doesn't suffice for all waiting steps in time"), qt.Equals, 1)
}

// TestPaceOfRunningJobs guards against runs that are preempted although their job has no
// slack left: the planner gets the latest start of the job's unfinished steps.
func TestPaceOfRunningJobs(t *testing.T) {
	r := newRig(t, cell.Step{Count: 1, EstimateMillis: 2000}, cell.Step{Count: 1, EstimateMillis: 1000, After: []int{0}})
	r.lead()
	j := r.state.Jobs[testJob]
	k := cell.TaskKey{Job: testJob}
	qt.Check(t, r.paceOf(paceCache{}, k, j, r.state.QueueOf(j)), qt.Equals, jobPace{}, qt.Commentf("job without a record of its admission"))
	submitted := r.admissionOf(j, r.now()).submittedAt
	// The objective is twice the critical path of 3 s, and 1 s.
	want := jobPace{submitted.Add(7*time.Second - 3*time.Second), 7 * time.Second}
	qt.Check(t, r.paceOf(paceCache{}, k, j, r.state.QueueOf(j)), qt.Equals, want)
}

// metricValue returns the value of the counter or gauge of the given name with a label of
// the given value.
func metricValue(t *testing.T, registry *prometheus.Registry, name, label string) float64 {
	t.Helper()
	families, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if f.GetName() == name && l.GetValue() == label {
					return m.GetCounter().GetValue() + m.GetGauge().GetValue()
				}
			}
		}
	}
	t.Fatalf("no metric %s with %s", name, label)
	return 0
}
