package gatekeeper

import (
	"io"
	"net/http"
	"net/url"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/node/pkg/carrier"
)

// newRequest builds the request that goes to target. It is written to a connection once, so it has no GetBody.
func newRequest(target registrar.Announcement, head carrier.Head, body io.Reader) (*http.Request, error) {
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
		// An empty value keeps net/http from naming itself.
		header["User-Agent"] = []string{""}
	}
	request := &http.Request{
		Method: head.Method, URL: uri, Header: header, Host: head.Host, ContentLength: head.Length, Body: http.NoBody,
	}
	if head.Length != 0 {
		request.Body = io.NopCloser(body)
	}
	return request, nil
}
