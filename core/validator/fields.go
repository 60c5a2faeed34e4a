package validator

import (
	"bufio"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/cockroachdb/errors"
)

// The bounds of a head and of the trailers. A field takes far more memory than its bytes on the connection if it is short, so
// lines are bounded too.
const (
	maxHeadBytes    = 256 << 10
	maxHeadLines    = 1000
	maxTrailerBytes = 16 << 10
	maxTrailerLines = 100

	// usualHeadBytes is the memory with which a head is read. Most heads fit.
	usualHeadBytes = 1 << 10
)

// readBlock reads lines up to and with an empty one, which it does not return.
func readBlock(reader *bufio.Reader, maxBytes, maxLines int) (string, error) {
	block := make([]byte, 0, usualHeadBytes)
	for start := 0; ; {
		part, err := reader.ReadSlice('\n')
		if len(block)+len(part) > maxBytes {
			return "", malformed("its head or trailer is too large")
		}
		block = append(block, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return "", unexpected(err)
		}
		if line := block[start:]; line[0] == '\n' || line[0] == '\r' && line[1] == '\n' {
			return string(block[:start]), nil
		}
		if start = len(block); maxLines == 0 {
			return "", malformed("its head or trailer has too many lines")
		}
		maxLines--
	}
}

// unexpected returns the error for a message that ended early. It is never io.EOF.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return errors.Wrap(err, "read response")
}

// parseFields returns the fields of a block of lines. A folded line continues the value before it (RFC 9112, section 5.2).
func parseFields(block string) (http.Header, error) {
	count := strings.Count(block, "\n")
	fields := make(http.Header, count)
	values := make([]string, count)
	last := ""
	for block != "" {
		var line string
		line, block, _ = strings.Cut(block, "\n")
		line = strings.TrimSuffix(line, "\r")
		if line != "" && (line[0] == ' ' || line[0] == '\t') {
			if last == "" || !isText(line) {
				return nil, malformed("a folded line continues no field, or has a control character")
			}
			held := fields[last]
			held[len(held)-1] = strings.Trim(held[len(held)-1]+" "+strings.Trim(line, " \t"), " \t")
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) || !isText(value) {
			return nil, malformed("a field line is invalid")
		}
		last = textproto.CanonicalMIMEHeaderKey(name)
		value = strings.Trim(value, " \t")
		if held, ok := fields[last]; ok {
			fields[last] = append(held, value)
			continue
		}
		values[0] = value
		fields[last], values = values[:1:1], values[1:]
	}
	return fields, nil
}

// framesMessage reports whether a field has a meaning only in a head (RFC 9110, section 6.5.1).
func framesMessage(name string) bool {
	return name == "Transfer-Encoding" || name == "Content-Length" || name == "Trailer"
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isTokenChar holds the characters of a token (RFC 9110, section 5.6.2).
var isTokenChar = func() (set [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		set[c] = true
	}
	return set
}()

func isToken(text string) bool {
	for i := range len(text) {
		if !isTokenChar[text[i]] {
			return false
		}
	}
	return text != ""
}

// isText reports whether text has no control character but the tab. Bytes from 0x80 on are allowed.
func isText(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
