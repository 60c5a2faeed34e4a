package forwarder_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/refuser"
	"samphiremount.example/node/pkg/forwarder"
)

// countedBody counts the bytes that are read of a body.
type countedBody struct {
	io.Reader

	bytes atomic.Int64
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.bytes.Add(int64(n))
	return n, err
}

// upload returns the head and the body of an upload that is withheld.
func upload(id string) (forwarder.Head, *countedBody) {
	const length = 300_000
	request := head(id)
	request.Upload, request.Withheld, request.Length = true, true, length
	return request, &countedBody{Reader: bytes.NewReader(make([]byte, length))}
}

// TestRefusedBodyStaysAtItsEntry guards against bodies that travel to gates which refuse their requests. The connection must
// stay usable for the next request.
func TestRefusedBodyStaysAtItsEntry(t *testing.T) {
	proxy := serve(t, newGate(func(_ context.Context, head forwarder.Head, body io.Reader) (forwarder.Answer, error) {
		if head.AttemptID == "refused" {
			return forwarder.Answer{}, refuser.Refuse(refuser.TargetSuspect, "")
		}
		if head.Length == 0 {
			return forwarder.Answer{Status: http.StatusOK, Body: http.NoBody}, nil
		}
		content, err := io.ReadAll(body)
		return forwarder.Answer{Status: http.StatusOK, Body: io.NopCloser(bytes.NewReader(content))}, err
	}))
	client := newClient(t)
	warm(t, client, proxy)
	request, body := upload("refused")
	_, err := client.Forward(t.Context(), destinationOf(proxy.address()), request, body)
	assert.Equal(t, refuser.From(err).Kind, refuser.TargetSuspect)
	assert.Equal(t, body.bytes.Load(), int64(0))
	// The connection may still be in use by the end of the call before.
	for i := 0; ; i++ {
		connections := proxy.connections()
		request, body = upload("granted" + strconv.Itoa(i))
		answer, err := client.Forward(t.Context(), destinationOf(proxy.address()), request, body)
		assert.NilError(t, err)
		content, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.Equal(t, int64(len(content)), request.Length)
		assert.NilError(t, answer.Body.Close())
		if proxy.connections() == connections {
			break
		}
		assert.Assert(t, i < 20, "no connection is used again")
	}
}

// TestRequestWhoseBodyStayedHasNotRun has gates that end without a word before they grant the body: the entry must be able to
// tell that the request has not run.
func TestRequestWhoseBodyStayedHasNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		ends func(proxy *link)
		kind refuser.Kind
	}{
		"deadline":         {func(*link) {}, refuser.DeadlinePassed},
		"link cut":         {func(proxy *link) { _ = proxy.listener.Close(); _ = proxy.stall(false) }, refuser.DeadlinePassed},
		"connection reset": {func(proxy *link) { proxy.deny(1000); proxy.reset() }, refuser.NodeUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reached := make(chan struct{}, 1)
			proxy := serve(t, newGate(func(ctx context.Context, _ forwarder.Head, _ io.Reader) (forwarder.Answer, error) {
				reached <- struct{}{}
				<-ctx.Done()
				time.Sleep(100 * time.Millisecond)
				return forwarder.Answer{}, refuser.Fail(refuser.OutcomeUnknown, "")
			}))
			go func() {
				<-reached
				c.ends(proxy)
			}()
			request, body := upload("a")
			request.Deadline = time.Now().Add(time.Second)
			_, err := newClient(t).Forward(t.Context(), destinationOf(proxy.address()), request, body)
			assert.Equal(t, outcome(t, err), "not-run")
			assert.Equal(t, refuser.From(err).Kind, c.kind)
			assert.Equal(t, body.bytes.Load(), int64(0))
		})
	}
}

// TestSpentBodyIsNotACutOne has a body of which an earlier attempt has used a part. Its caller has sent all of it, and may send
// it again; a body that its caller has cut must be told as such.
func TestSpentBodyIsNotACutOne(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		kind refuser.Kind
	}{
		"used by an earlier attempt": {forwarder.ErrBodyConsumed, refuser.NodeUnreachable},
		"cut by its caller":          {io.ErrUnexpectedEOF, refuser.BodyCut},
	} {
		proxy := serve(t, newGate(func(_ context.Context, _ forwarder.Head, body io.Reader) (forwarder.Answer, error) {
			_, err := io.Copy(io.Discard, body)
			return forwarder.Answer{}, refuser.Refuse(refuser.BodyCut, err.Error())
		}))
		request, _ := upload(name)
		_, err := newClient(t).Forward(t.Context(), destinationOf(proxy.address()), request, iotest.ErrReader(c.err))
		assert.Equal(t, refuser.From(err).Kind, c.kind, name)
		assert.Equal(t, outcome(t, err), "not-run", name)
	}
}
