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

func key(id model.KeyID, workspace model.WorkspaceID) model.Key {
	return model.Key{ID: id, Workspace: workspace, Hash: sha256.Sum256([]byte("secret"))}
}

func testView() api.EntryView {
	return api.EntryView{
		Revision:   1,
		Keys:       []model.Key{key("k1", "vets"), key("k2", "shop")},
		Workspaces: []model.Workspace{{ID: "shop", Share: 1}, {ID: "vets", Share: 3}},
		Queues: []model.Queue{
			{Name: "lookup", Open: true},
			{Name: "orders", Workspace: "vets"},
		},
		DataCentres: []model.DataCentre{{ID: "a"}, {ID: "b"}},
		Tree:        settings.NewTree(),
	}
}

// cell is a data centre in one process: control, entry VMs, backend servers.
type cell struct {
	t       testing.TB
	dc      model.DCID
	control *control.Control
	entries []*testEntry
	servers []*backend.Server
	client  *http.Client
	// silence ends all announcements and waits for that.
	silence []func()
}

type testEntry struct {
	*Entry
	cancel context.CancelFunc
	done   chan error
}

// stop asks for a graceful stop and waits for it.
func (e *testEntry) stop() error {
	e.cancel()
	err := <-e.done
	e.done <- err
	return err
}

func newCell(t testing.TB) *cell { return newCellIn(t, "a") }

func newCellIn(t testing.TB, dc model.DCID) *cell {
	t.Helper()
	c, err := control.Start("127.0.0.1:0", dc, testView())
	qt.Assert(t, err, qt.IsNil)
	out := &cell{t: t, dc: dc, control: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 500}}}
	t.Cleanup(out.close)
	return out
}

func (c *cell) close() {
	c.client.CloseIdleConnections()
	for _, f := range c.silence {
		f()
	}
	for _, e := range c.entries {
		e.stop()
	}
	c.control.Close()
	for _, s := range c.servers {
		s.Close()
	}
}

func (c *cell) addEntry(change ...func(*Config)) *testEntry {
	c.t.Helper()
	cfg := Config{
		VM: model.VMID(fmt.Sprint("e", len(c.entries))), DC: c.dc,
		Listen: "127.0.0.1:0", Wire: "127.0.0.1:0", Control: []string{c.control.Node.Addr()},
		Drain: 5 * time.Second, Sync: 20 * time.Millisecond,
		Requests: DefaultRequests, HeaderBytes: DefaultHeaderBytes,
	}
	for _, f := range change {
		f(&cfg)
	}
	qt.Assert(c.t, cfg.Check(), qt.IsNil)
	e, err := Open(cfg, zap.NewNop(), clock.Boot{})
	qt.Assert(c.t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	te := &testEntry{Entry: e, cancel: cancel, done: make(chan error, 1)}
	go func() { te.done <- e.Run(ctx) }()
	c.entries = append(c.entries, te)
	c.eventually("entry is ready", e.router.Ready)
	return te
}

// addServer starts a backend server that announces itself by every entry VM.
func (c *cell) addServer(queue model.QueueName, change ...func(*backend.Config)) *backend.Server {
	c.t.Helper()
	s := c.startServer(queue, change...)
	c.awaitSlots()
	return s
}

// awaitSlots waits until slots of every server are lent.
func (c *cell) awaitSlots() {
	c.t.Helper()
	for _, s := range c.servers {
		id := s.Announcement().Server
		c.eventually("slots are lent", func() bool { return c.control.Held(id) > 0 })
	}
}

func (c *cell) startServer(queue model.QueueName, change ...func(*backend.Config)) *backend.Server {
	c.t.Helper()
	cfg := backend.Config{
		Server: model.ServerID(fmt.Sprint("s", len(c.servers))), DC: c.dc, Queue: queue, Incarnation: "1",
		Listen: "127.0.0.1:0", Slots: 8, Connections: 60, Every: 50 * time.Millisecond,
	}
	for _, e := range c.entries {
		cfg.Entries = append(cfg.Entries, e.Addr())
	}
	for _, f := range change {
		f(&cfg)
	}
	s, err := backend.Start(cfg)
	qt.Assert(c.t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	c.silence = append(c.silence, func() {
		cancel()
		<-done
	})
	c.servers = append(c.servers, s)
	return s
}

func (c *cell) eventually(what string, ok func() bool) {
	c.t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("not within 5 s: %s", what)
}

// answer is what a caller got.
type answer struct {
	status  int
	header  http.Header
	body    string
	err     error
	verdict verdict.Verdict
	reason  verdict.Reason
	id      model.RequestID
}

// request is what a caller sends.
type request struct {
	path       string
	key        string
	body       string
	id         model.RequestID
	idempotent bool
	deadline   time.Duration
}

func (c *cell) send(e *testEntry, q request) answer { return c.sendTo(e.Addr(), q) }

func (c *cell) sendTo(addr string, q request) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+q.path, bytes.NewReader([]byte(q.body)))
	qt.Assert(c.t, err, qt.IsNil)
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
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, header: resp.Header, body: string(body), err: err,
		verdict: verdict.Verdict(resp.Header.Get(api.HeaderVerdict)),
		reason:  verdict.Reason(resp.Header.Get(api.HeaderReason)),
		id:      model.RequestID(resp.Header.Get(api.HeaderRequestID)),
	}
}
