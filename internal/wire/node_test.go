package wire

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"kumquatwing/internal/verdict"
)

type echo struct {
	Text string `msgpack:"t"`
}

func listen(t *testing.T, dial Dialer) *Node {
	t.Helper()
	n, err := Listen("127.0.0.1:0", dial)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { n.Close() })
	return n
}

func TestCallReturnsReply(t *testing.T) {
	defer goleak.VerifyNone(t)
	server, client := listen(t, nil), listen(t, nil)
	defer server.Close()
	defer client.Close()
	HandleTyped(server, "echo", func(_ context.Context, req *echo) (*echo, error) {
		return &echo{req.Text + "!"}, nil
	})
	var resp echo
	err := client.Call(context.Background(), server.Addr(), "echo", &echo{"hi"}, &resp)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.Text, qt.Equals, "hi!")
}

func TestRefusalReachesCaller(t *testing.T) {
	server, client := listen(t, nil), listen(t, nil)
	HandleTyped(server, "no", func(context.Context, *echo) (*echo, error) {
		return nil, verdict.Refuse(verdict.ReasonBadKey, "key %q is withdrawn", "k1")
	})
	err := client.Call(context.Background(), server.Addr(), "no", &echo{}, &echo{})
	r := verdict.FromError(err)
	qt.Assert(t, r.Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, r.Reason, qt.Equals, verdict.ReasonBadKey)
}

// TestCallBeforeHandlerIsRetryable calls a node that has no handler for the topic
// yet, like a process that is starting.
func TestCallBeforeHandlerIsRetryable(t *testing.T) {
	server, client := listen(t, nil), listen(t, nil)
	err := client.Call(context.Background(), server.Addr(), "later", &echo{}, &echo{})
	r := verdict.FromError(err)
	qt.Assert(t, r.Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, r.Retry, qt.IsTrue)
}

// TestPanicEndsOneRequest checks that a handler that panics ends its request, of which
// the caller learns that it may have run, and not the process.
func TestPanicEndsOneRequest(t *testing.T) {
	server, client := listen(t, nil), listen(t, nil)
	server.Handle("bad", func(context.Context, []byte) ([]byte, error) { panic("unexpected") })
	server.Handle("good", func(context.Context, []byte) ([]byte, error) { return nil, nil })
	_, err := client.CallRaw(context.Background(), server.Addr(), "bad", nil)
	r := verdict.FromError(err)
	qt.Check(t, r.Verdict, qt.Equals, verdict.MayHaveRun)
	qt.Check(t, r.Reason, qt.Equals, verdict.ReasonInternal)
	_, err = client.CallRaw(context.Background(), server.Addr(), "good", nil)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, server.running, qt.HasLen, 0)
}

// TestOneTopicLeavesHandlersToOthers checks that requests of one topic that wait, as
// they do without a quorum, leave handlers to other topics.
func TestOneTopicLeavesHandlersToOthers(t *testing.T) {
	server, client := listen(t, nil), listen(t, nil)
	release := make(chan struct{})
	defer close(release)
	server.Handle("waits", func(context.Context, []byte) ([]byte, error) {
		<-release
		return nil, nil
	})
	server.Handle("ping", func(context.Context, []byte) ([]byte, error) { return nil, nil })
	refused := make(chan error, maxHandlers+1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range maxHandlers + 1 {
		go func() {
			_, err := client.CallRaw(ctx, server.Addr(), "waits", nil)
			refused <- err
		}()
	}
	for range maxHandlers + 1 - maxTopicHandlers {
		qt.Check(t, verdict.FromError(<-refused).Reason, qt.Equals, verdict.ReasonOverload)
	}
	_, err := client.CallRaw(ctx, server.Addr(), "ping", nil)
	qt.Check(t, err, qt.IsNil)
}

// TestVerdictsWithoutReply checks the verdicts of calls that get no reply. The
// server's kernel accepts connections, but no process reads from them.
func TestVerdictsWithoutReply(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer silent.Close()
	refuse := func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }
	cases := []struct {
		name string
		dial Dialer
		want verdict.Verdict
	}{
		{"never connected", refuse, verdict.NotRun},
		{"sent without reply", nil, verdict.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := listen(t, c.dial)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			err := client.Call(ctx, silent.Addr().String(), "echo", &echo{}, &echo{})
			qt.Assert(t, verdict.FromError(err).Verdict, qt.Equals, c.want)
		})
	}
}

func TestPublishReachesSubscriber(t *testing.T) {
	server, client := listen(t, nil), listen(t, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ch, err := server.Subscribe(ctx, "news")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, client.Send(server.Addr(), "news", &echo{"x"}), qt.IsNil)
	m := <-ch
	m.Ack()
	qt.Assert(t, len(m.Payload) > 0, qt.IsTrue)
}
