package gatekeeper

import (
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/node/pkg/forwarder"
)

// newRequest builds the request to target, without its body. It has no GetBody, since it is written to a connection only
// once.
func (g *Gatekeeper) newRequest(target registrar.Announcement, head forwarder.Head) (*http.Request, error) {
	uri, err := url.ParseRequestURI(head.URI)
	if err != nil {
		return nil, refuser.Refuse(refuser.RequestInvalid, "the request URI is malformed")
	}
	uri.Scheme, uri.Host = "http", target.Address
	header := head.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	if header.Get("User-Agent") == "" {
		// An empty value keeps net/http from sending its own User-Agent.
		header["User-Agent"] = []string{""}
	}
	return &http.Request{
		Method: head.Method, URL: uri, Header: header, Host: head.Host, ContentLength: head.Length, Body: http.NoBody,
	}, nil
}

// setBody adds the body, and the trailers that head announces, to request.
func setBody(request *http.Request, head forwarder.Head, body io.Reader) {
	if head.Length == 0 {
		return
	}
	request.Body = io.NopCloser(body)
	if trailed, ok := body.(forwarder.TrailerBody); ok && len(head.Trailer) > 0 {
		request.Trailer = make(http.Header)
		for _, name := range head.Trailer {
			request.Trailer[http.CanonicalHeaderKey(name)] = nil
		}
		request.Body = &trailerBody{Reader: body, source: trailed, trailer: request.Trailer}
	}
}

// trailerBody sets a request's trailers once its body was read to the end. Trailers that the head did not announce are
// dropped.
type trailerBody struct {
	io.Reader

	source  forwarder.TrailerBody
	trailer http.Header
}

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		for name := range b.trailer {
			b.trailer[name] = b.source.Trailer()[name]
		}
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// Close implements io.Closer.
func (b *trailerBody) Close() error { return nil }
