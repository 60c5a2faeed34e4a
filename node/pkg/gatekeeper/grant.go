package gatekeeper

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/observer"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/node/pkg/forwarder"
)

// admitWithContent reads the content of a request and waits for a slot, or for all slots if the request has to run alone. A
// withheld body is granted by its first read, so it is read only once the request has a slot; the other bodies are here
// already, and are read first.
func (g *Gatekeeper) admitWithContent(
	ctx context.Context, target registrar.Announcement, head forwarder.Head, body io.Reader,
) (admitted content, alone bool, err error) {
	if err := g.checkCalls(time.Now(), head); err != nil {
		return content{}, false, err
	}
	if !head.Withheld {
		if admitted, err = readContent(head, body); err != nil {
			return content{}, false, err
		}
		alone, err = g.admit(ctx, target, head, admitted)
		return admitted, alone, err
	}
	if alone, err = g.admit(ctx, target, head, content{}); err != nil {
		return content{}, false, err
	}
	admitted, err = readGranted(head, body)
	if err == nil {
		var changed bool
		if changed, err = g.checkContent(admitted); err == nil && changed == alone {
			return admitted, alone, nil
		}
	}
	g.release(target.Name, alone)
	if err != nil {
		return content{}, false, err
	}
	// The content is suspected of crashing targets, and has to wait for all slots.
	alone, err = g.admit(ctx, target, head, admitted)
	return admitted, alone, err
}

// readGranted reads the content of a withheld body. It waits for the first byte of a body that is too large to be read in
// full: until then the entry may withdraw the request, so it must not start.
func readGranted(head forwarder.Head, body io.Reader) (content, error) {
	granted, err := readContent(head, body)
	if err != nil || granted.hasDigest {
		return granted, err
	}
	reader := bufio.NewReader(body)
	if _, err := reader.Peek(1); err != nil && !errors.Is(err, io.EOF) {
		return content{}, refuser.Refuse(refuser.BodyCut, err.Error())
	}
	granted.body = &peekedBody{Reader: reader, source: body}
	return granted, nil
}

// peekedBody is a body of which the first bytes are buffered.
type peekedBody struct {
	*bufio.Reader

	source io.Reader
}

var _ forwarder.TrailerBody = (*peekedBody)(nil)

// Trailer implements forwarder.TrailerBody.
func (b *peekedBody) Trailer() http.Header {
	if trailed, ok := b.source.(forwarder.TrailerBody); ok {
		return trailed.Trailer()
	}
	return nil
}

// trackStreamed records the start of an attempt as trackAttempt does. If its body is still to come, the breaker times the target
// from the end of the body on: how long the rest takes is up to the caller. content is returned with a body that tells.
func (g *Gatekeeper) trackStreamed(
	target registrar.Announcement, head forwarder.Head, admitted content,
) (record func(observer.Result), tracked content) {
	record, start := g.trackUnstarted(target, head)
	if admitted.hasDigest || head.Length == 0 {
		start()
		return record, admitted
	}
	admitted.body = &endingBody{Reader: admitted.body, ended: start}
	return record, admitted
}

// endingBody is a body that calls ended when it was read to its end.
type endingBody struct {
	io.Reader

	ended func()
}

var _ forwarder.TrailerBody = (*endingBody)(nil)

// Read implements io.Reader.
func (b *endingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended()
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// Trailer implements forwarder.TrailerBody.
func (b *endingBody) Trailer() http.Header {
	if trailed, ok := b.Reader.(forwarder.TrailerBody); ok {
		return trailed.Trailer()
	}
	return nil
}
