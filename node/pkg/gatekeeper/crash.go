package gatekeeper

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"samphiremount.example/core/quarantiner"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/node/pkg/connector"
	"samphiremount.example/node/pkg/forwarder"
)

// maxContent bounds the bodies that are read whole before their request starts, and so can be recognised.
const maxContent = 64 << 10

// content is what is known of a request's content. Known is false for bodies that are too large to be recognised.
type content struct {
	digest quarantiner.Digest
	known  bool
	body   io.Reader
}

// readContent reads a small body whole. A cut or damaged one never starts.
func readContent(head forwarder.Head, body io.Reader) (content, error) {
	if head.Length < 0 || head.Length > maxContent {
		return content{body: body}, nil
	}
	whole := make([]byte, head.Length)
	if head.Length > 0 {
		if _, err := io.ReadFull(body, whole); err != nil {
			return content{}, refuser.Refuse(refuser.BodyCut, err.Error())
		}
		if _, err := body.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			return content{}, refuser.Refuse(refuser.BodyCut, "the body differs from its end mark")
		}
	}
	digest := xxhash.New()
	for _, part := range []string{head.Workspace, head.Service, head.Method, head.Host, head.URI, head.Header.Get("Content-Type")} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(whole)
	return content{quarantiner.Digest(digest.Sum64()), true, bytes.NewReader(whole)}, nil
}

func (g *Gatekeeper) judge(content content) quarantiner.Verdict {
	if !content.known {
		return quarantiner.Clear{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantiner.Check(time.Now(), content.digest)
}

// admit waits for a slot, or for all slots if the content is suspect, and returns whether the request runs alone. It
// refuses quarantined contents.
func (g *Gatekeeper) admit(
	ctx context.Context, target registrar.Announcement, head forwarder.Head, content content,
) (alone bool, err error) {
	alone, err = g.mayRun(content)
	for err == nil {
		if err := g.acquire(ctx, target, head, alone); err != nil {
			return false, err
		}
		var changed bool
		changed, err = g.mayRun(content)
		if err == nil && changed == alone {
			return alone, nil
		}
		// The content crashed a target, or was acquitted, while this request waited.
		g.release(target.Name, alone)
		alone = changed
	}
	return false, err
}

func (g *Gatekeeper) mayRun(content content) (alone bool, err error) {
	switch verdict := g.judge(content).(type) {
	case quarantiner.Quarantined:
		return false, refuser.Refuse(refuser.Quarantined, "until "+verdict.Until.Format(time.TimeOnly))
	case quarantiner.Suspect:
		return true, nil
	case quarantiner.Clear:
	}
	return false, nil
}

// examine looks into a failed exchange: if the target takes no connection any more, its crash is charged to the
// request's content, and the other gates of the service are told. It reports whether that was so.
func (g *Gatekeeper) examine(
	ctx context.Context, head forwarder.Head, target registrar.Announcement, content content, alone bool, err error,
) (crashed bool) {
	var failure *connector.Failure
	if !content.known || ctx.Err() != nil || !errors.As(err, &failure) || !failure.Sent {
		return false
	}
	if g.connector.Alive(ctx, target.Address) {
		return false
	}
	crash := quarantiner.Crash{ID: head.ID, Digest: content.digest, Alone: alone}
	g.RecordCrash(crash)
	g.spread(target.Service, crash)
	return true
}

// RecordCrash implements carrier.Gate.
func (g *Gatekeeper) RecordCrash(crash quarantiner.Crash) {
	g.mu.Lock()
	news := g.quarantiner.Record(time.Now(), crash)
	verdict := g.quarantiner.Check(time.Now(), crash.Digest)
	g.mu.Unlock()
	if news {
		g.counts.Add("crashes", 1)
		g.log.Warn("target crashed under request", "request", crash.ID, "alone", crash.Alone, "verdict", fmt.Sprintf("%T", verdict))
	}
}

func (g *Gatekeeper) acquit(content content) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantiner.ClearSuspicion(content.digest)
}
