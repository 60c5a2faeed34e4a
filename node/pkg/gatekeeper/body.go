package gatekeeper

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/observer"
	"samphiremount.example/core/registrar"
	"samphiremount.example/core/validator"
	"samphiremount.example/node/pkg/forwarder"
)

// maxDrainBytes and maxDrainTime bound what is read from an answer that is discarded, since the refusal waits for it. The
// connection is closed if there is more, or if the rest takes longer.
const (
	maxDrainBytes = 4 << 10
	maxDrainTime  = 50 * time.Millisecond
)

// drain reads a short body to its end, so that its connection can be reused. It reports whether what it read was well-formed.
func drain(body io.Reader) (wellFormed bool) {
	_, err := io.CopyN(io.Discard, body, maxDrainBytes)
	return !errors.Is(err, validator.ErrMalformed)
}

// largeAnswerBytes is the length from which on an answer is logged when it was sent. It occupies the link of this VM for a
// while, which delays everything else that the gate sends.
const largeAnswerBytes = 32 << 10

// recordBodyEnd logs a large answer of length bytes that began at answeredAt. It records an answer that broke off, or had no
// end before the deadline, as evidence against the target. Its head has been counted as an answer, so this counts as a
// further attempt.
func (g *Gatekeeper) recordBodyEnd(
	ctx context.Context, target registrar.Announcement, head forwarder.Head, length int64, answeredAt time.Time, end bodyEnd,
) {
	if length >= largeAnswerBytes {
		g.log.Info("large answer sent", "request", head.AttemptID, "target", head.Target, "length", length,
			"elapsed", time.Since(answeredAt), "whole", end == bodyComplete)
	}
	if end != bodyBroken || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	g.counts.Add("broken_bodies", 1)
	g.log.Info("answer broke off", "request", head.AttemptID, "target", target.Name)
	g.trackAttempt(target, head)(observer.Broken{})
}

// bodyEnd is how far an answer was read when it was closed.
type bodyEnd int

const (
	// bodyUnread is an answer that its reader did not need to its end.
	bodyUnread bodyEnd = iota
	bodyComplete
	bodyBroken
)

// slotBody calls release when the answer is closed, with how far it was read.
type slotBody struct {
	io.ReadCloser

	response *http.Response
	release  func(end bodyEnd)
	end      bodyEnd
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.end = bodyComplete
	case err != nil:
		b.end = bodyBroken
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// Trailer implements forwarder.TrailerBody.
func (b *slotBody) Trailer() http.Header {
	return b.response.Trailer
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	defer func() { b.release(b.end) }()
	return errors.Wrap(b.ReadCloser.Close(), "close answer of target")
}
