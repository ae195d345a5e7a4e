package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/fake/backend"
	"kumquatwing/internal/fake/control"
	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

const (
	vetsKey = "kq_k1_secret"
	shopKey = "kq_k2_secret"
)

// testKey returns a key whose secret is "secret".
func testKey(id model.KeyID, workspace model.WorkspaceID) model.Key {
	return model.Key{ID: id, Workspace: workspace, Hash: sha256.Sum256([]byte("secret"))}
}

// testView returns a view with two workspaces, which have a key each, the open queue
// lookup, and the queue orders of workspace vets.
func testView() api.EntryView {
	return api.EntryView{
		Revision:   1,
		Keys:       []model.Key{testKey("k1", "vets"), testKey("k2", "shop")},
		Workspaces: []model.Workspace{{ID: "shop", Share: 1}, {ID: "vets", Share: 3}},
		Queues: []model.Queue{
			{Name: "lookup", Open: true},
			{Name: "orders", Workspace: "vets"},
		},
		DataCentres: []model.DataCentre{{ID: "a"}, {ID: "b"}},
		Tree:        settings.NewTree(),
	}
}

// testDC is a data centre in the test process: a fake kqcontrol, entry VMs and fake
// backend servers.
type testDC struct {
	t       testing.TB
	id      model.DCID
	control *control.Control
	entries []*testEntry
	servers []*backend.Server
	client  *http.Client
	// stopAnnouncing holds a function per server that stops its announcements and
	// waits until the last one has ended.
	stopAnnouncing []func()
}

// testEntry is an entry VM that runs until cancel is called. done then holds the
// error of Run.
type testEntry struct {
	*Entry
	cancel context.CancelFunc
	done   chan error
}

// stop stops the entry VM gracefully and returns the error of Run. It may be called
// more than once.
func (e *testEntry) stop() error {
	e.cancel()
	err := <-e.done
	e.done <- err
	return err
}

// newTestDC starts the data centre "a".
func newTestDC(t testing.TB) *testDC { return newTestDCIn(t, "a") }

// newTestDCIn starts the data centre id without entry VMs and servers. It is closed at
// the end of the test.
func newTestDCIn(t testing.TB, id model.DCID) *testDC {
	t.Helper()
	ctl, err := control.Start("127.0.0.1:0", id, testView())
	qt.Assert(t, err, qt.IsNil)
	dc := &testDC{t: t, id: id, control: ctl, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 500}}}
	t.Cleanup(dc.close)
	return dc
}

func (dc *testDC) close() {
	dc.client.CloseIdleConnections()
	for _, f := range dc.stopAnnouncing {
		f()
	}
	for _, e := range dc.entries {
		e.stop()
	}
	dc.control.Close()
	for _, s := range dc.servers {
		s.Close()
	}
}

// addEntry starts an entry VM and waits until it is ready.
func (dc *testDC) addEntry(change ...func(*Config)) *testEntry {
	dc.t.Helper()
	cfg := Config{
		VM: model.VMID(fmt.Sprint("e", len(dc.entries))), DC: dc.id,
		Listen: "127.0.0.1:0", Wire: "127.0.0.1:0", Control: []string{dc.control.Node.Addr()},
		Drain: 5 * time.Second, Sync: 20 * time.Millisecond,
		Requests: DefaultRequests, HeaderBytes: DefaultHeaderBytes,
	}
	for _, f := range change {
		f(&cfg)
	}
	qt.Assert(dc.t, cfg.Check(), qt.IsNil)
	e, err := Open(cfg, zap.NewNop(), clock.Boot{})
	qt.Assert(dc.t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	te := &testEntry{Entry: e, cancel: cancel, done: make(chan error, 1)}
	go func() { te.done <- e.Run(ctx) }()
	dc.entries = append(dc.entries, te)
	dc.eventually("entry VM is ready", e.router.Ready)
	return te
}

// addServer starts a backend server and waits until the entry VMs hold slots of every
// server.
func (dc *testDC) addServer(queue model.QueueName, change ...func(*backend.Config)) *backend.Server {
	dc.t.Helper()
	s := dc.startServer(queue, change...)
	dc.awaitSlots()
	return s
}

// awaitSlots waits until slots of every server are granted, and then for a sync of
// every entry VM, which tells the entry VM of its grants.
func (dc *testDC) awaitSlots() {
	dc.t.Helper()
	for _, s := range dc.servers {
		id := s.Announcement().Server
		dc.eventually("slots are granted", func() bool { return dc.control.Granted(id) > 0 })
	}
	granted := clock.Boot{}.Now()
	for _, e := range dc.entries {
		dc.eventually("entry VM has synced", func() bool { return clock.Instant(e.lastSync.Load()) > granted })
	}
}

// startServer starts a backend server that announces itself to every entry VM that
// runs so far.
func (dc *testDC) startServer(queue model.QueueName, change ...func(*backend.Config)) *backend.Server {
	dc.t.Helper()
	cfg := backend.Config{
		Server: model.ServerID(fmt.Sprint("s", len(dc.servers))), DC: dc.id, Queue: queue, Incarnation: "1",
		Listen: "127.0.0.1:0", Slots: 8, Connections: 60, AnnounceInterval: 50 * time.Millisecond,
	}
	for _, e := range dc.entries {
		cfg.Entries = append(cfg.Entries, e.Addr())
	}
	for _, f := range change {
		f(&cfg)
	}
	s, err := backend.Start(cfg)
	qt.Assert(dc.t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	dc.stopAnnouncing = append(dc.stopAnnouncing, func() {
		cancel()
		<-done
	})
	dc.servers = append(dc.servers, s)
	return s
}

// eventually waits until ok returns true, and fails the test after 5 s. condition
// describes what is waited for.
func (dc *testDC) eventually(condition string, ok func() bool) {
	dc.t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	dc.t.Fatalf("condition not met within 5 s: %s", condition)
}

// result is the response to a request as the caller sees it, or the error of the HTTP
// client.
type result struct {
	status  int
	header  http.Header
	body    string
	err     error
	verdict verdict.Verdict
	reason  verdict.Reason
	id      model.RequestID
}

// request describes a caller's request.
type request struct {
	path       string
	key        string
	body       string
	id         model.RequestID
	idempotent bool
	deadline   time.Duration
}

func (dc *testDC) send(e *testEntry, q request) result { return dc.sendTo(e.Addr(), q) }

func (dc *testDC) sendTo(addr string, q request) result {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+q.path, bytes.NewReader([]byte(q.body)))
	qt.Assert(dc.t, err, qt.IsNil)
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	set(api.HeaderKey, q.key)
	set(api.HeaderRequestID, string(q.id))
	if q.idempotent {
		set(api.HeaderIdempotent, "true")
	}
	if q.deadline > 0 {
		set(api.HeaderDeadline, fmt.Sprint(q.deadline.Milliseconds()))
	}
	resp, err := dc.client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{
		status: resp.StatusCode, header: resp.Header, body: string(body), err: err,
		verdict: verdict.Verdict(resp.Header.Get(api.HeaderVerdict)),
		reason:  verdict.Reason(resp.Header.Get(api.HeaderReason)),
		id:      model.RequestID(resp.Header.Get(api.HeaderRequestID)),
	}
}
