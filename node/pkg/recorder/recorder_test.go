package recorder_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/logger"
	"samphiremount.example/node/pkg/recorder"
)

func TestNewestDecisionsAreKept(t *testing.T) {
	var out bytes.Buffer
	decisions := recorder.New(3)
	log := logger.New(&out, slog.LevelWarn).Wrap(decisions.Handler).Part("route")
	log.Info("without request", "target", "t")
	for i := range 5 {
		log.Info("target chosen", "request", fmt.Sprint(i%2), "target", fmt.Sprint("t", i), "reason", "near")
	}
	log.Warn("answer cut", "request", "9")
	even := decisions.Decisions("0")
	assert.Equal(t, len(even), 1)
	assert.Equal(t, even[0].Message, "route: target chosen")
	assert.Equal(t, fmt.Sprint(even[0].Details), "[{target t4} {reason near}]")
	assert.Equal(t, len(decisions.Decisions("1")), 1)
	assert.Equal(t, len(decisions.Decisions("9")), 1)
	assert.Equal(t, strings.Count(out.String(), "\n"), 1, "the log itself contains lines below its level: %s", out.String())
}
