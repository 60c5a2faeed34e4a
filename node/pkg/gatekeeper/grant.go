package gatekeeper

import (
	"bufio"
	"context"
	"io"
	"net/http"

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
	if _, err := reader.Peek(1); err != nil && err != io.EOF { //nolint:errorlint // bodies return io.EOF as it is
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
