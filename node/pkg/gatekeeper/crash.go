package gatekeeper

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"samphiremount.example/core/granter"
	"samphiremount.example/core/quarantiner"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/node/pkg/connector"
	"samphiremount.example/node/pkg/forwarder"
)

// content is the content of a request. hasDigest is false if the body is too large to be identified, or its length
// unknown.
type content struct {
	digest    quarantiner.Digest
	hasDigest bool
	body      io.Reader
}

// readContent reads a small body in full. A request with a truncated or corrupted one is refused.
func readContent(head forwarder.Head, body io.Reader) (content, error) {
	if head.Length < 0 || head.Length > granter.MaxReplayBytes {
		return content{body: body}, nil
	}
	data := make([]byte, head.Length)
	if head.Length > 0 {
		if _, err := io.ReadFull(body, data); err != nil {
			return content{}, refuser.Refuse(refuser.BodyCut, err.Error())
		}
		if _, err := body.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			return content{}, refuser.Refuse(refuser.BodyCut, "the body differs from its end mark")
		}
	}
	digest := xxhash.New()
	for _, field := range []string{head.Workspace, head.Service, head.Method, head.Host, head.URI, head.Header.Get("Content-Type")} {
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(data)
	return content{quarantiner.Digest(digest.Sum64()), true, bytes.NewReader(data)}, nil
}

func (g *Gatekeeper) contentVerdict(content content) quarantiner.Verdict {
	if !content.hasDigest {
		return quarantiner.Clear{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantiner.Check(time.Now(), content.digest)
}

// admit waits for a slot, or for all slots if the content is suspected of crashing targets, and returns whether the
// request runs alone. It refuses quarantined content.
func (g *Gatekeeper) admit(
	ctx context.Context, target registrar.Announcement, head forwarder.Head, content content,
) (alone bool, err error) {
	alone, err = g.checkContent(content)
	for err == nil {
		if err := g.acquire(ctx, target, head, alone); err != nil {
			return false, err
		}
		var changed bool
		changed, err = g.checkContent(content)
		if err == nil && changed == alone {
			return alone, nil
		}
		// While this request waited, the content crashed a target or was cleared of suspicion.
		g.release(target.Name, alone)
		alone = changed
	}
	return false, err
}

// checkContent returns whether a request with the content has to run alone. It refuses quarantined content.
func (g *Gatekeeper) checkContent(content content) (alone bool, err error) {
	switch verdict := g.contentVerdict(content).(type) {
	case quarantiner.Quarantined:
		return false, refuser.Refuse(refuser.Quarantined, "until "+verdict.Until.Format(time.TimeOnly))
	case quarantiner.Suspect:
		return true, nil
	case quarantiner.Clear:
	}
	return false, nil
}

// detectCrash checks after a failed exchange whether the target still accepts connections. If not, it records the crash
// against the content of the request, reports it to the other gates of the service and returns true.
func (g *Gatekeeper) detectCrash(
	ctx context.Context, head forwarder.Head, target registrar.Announcement, content content, alone bool, err error,
) (crashed bool) {
	var failure *connector.Failure
	if !content.hasDigest || ctx.Err() != nil || !errors.As(err, &failure) || !failure.Sent {
		return false
	}
	if g.connector.Alive(ctx, target.Address) {
		return false
	}
	crash := quarantiner.Crash{ID: head.AttemptID, Digest: content.digest, Alone: alone}
	g.RecordCrash(crash)
	g.broadcastCrash(target.Service, crash)
	return true
}

// RecordCrash implements forwarder.Gate.
func (g *Gatekeeper) RecordCrash(crash quarantiner.Crash) {
	g.mu.Lock()
	isNew := g.quarantiner.Record(time.Now(), crash)
	verdict := g.quarantiner.Check(time.Now(), crash.Digest)
	g.mu.Unlock()
	if isNew {
		g.counts.Add("crashes", 1)
		g.log.Warn("target crashed under request", "request", crash.ID, "alone", crash.Alone, "verdict", fmt.Sprintf("%T", verdict))
	}
}

// Crashes implements forwarder.Gate.
func (g *Gatekeeper) Crashes() []quarantiner.Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantiner.Crashes(time.Now())
}

func (g *Gatekeeper) clearSuspicion(content content) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantiner.ClearSuspicion(content.digest)
}
