package validator

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxOverhead bounds the bytes of chunk lines beyond usualChunkLine each and what they carry, so that a sender of extensions
// cannot occupy a connection that carries next to nothing.
const (
	maxOverhead    = 16 << 10
	usualChunkLine = 16
)

// Body reads the body of a response. Its reads return io.EOF only at the end that the framing states, which for UntilClose is
// the end of the reader.
type Body struct {
	reader  *bufio.Reader
	framing Framing
	left    int64
	trailer http.Header
	err     error

	// inChunk is set while the line break after a chunk is not read.
	inChunk  bool
	last     bool
	overhead int64
}

// NewBody returns the body that follows head in reader.
func NewBody(reader *bufio.Reader, head Head) *Body {
	body := &Body{reader: reader, framing: head.Framing}
	switch framing := head.Framing.(type) {
	case NoBody:
		body.err = io.EOF
	case Sized:
		body.left = framing.Length
		if body.left == 0 {
			body.err = io.EOF
		}
	case Chunked, UntilClose:
	}
	return body
}

// Trailer returns the fields after the body, once it was read to its end.
func (b *Body) Trailer() http.Header { return b.trailer }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (n int, err error) {
	if b.err != nil || len(p) == 0 {
		return 0, b.err
	}
	switch b.framing.(type) {
	case Sized:
		n = b.readPart(p)
		if b.err == nil && b.left == 0 {
			b.err = io.EOF
		}
	case Chunked:
		n = b.readChunks(p)
	default:
		n, b.err = b.reader.Read(p)
	}
	return n, b.err
}

// readPart reads what is left of a part with a known length.
func (b *Body) readPart(p []byte) int {
	n, err := b.reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if err != nil {
		b.err = unexpected(err)
	}
	return n
}

// readChunks fills p. Once it has read anything, it reads on only while the next chunk line is here already.
func (b *Body) readChunks(p []byte) (n int) {
	for n < len(p) && b.err == nil {
		if b.left > 0 {
			n += b.readPart(p[n:])
			continue
		}
		if n > 0 && (b.last || !b.lineBuffered()) {
			return n
		}
		b.err = b.nextChunk()
	}
	return n
}

// lineBuffered reports whether the next chunk line can be read without waiting.
func (b *Body) lineBuffered() bool {
	buffered, _ := b.reader.Peek(b.reader.Buffered())
	if b.inChunk {
		buffered = buffered[min(len(buffered), 2):]
	}
	return bytes.IndexByte(buffered, '\n') >= 0
}

// nextChunk reads up to the content of the next chunk. After the last chunk it reads the trailers and returns io.EOF.
func (b *Body) nextChunk() error {
	if b.last {
		return b.readTrailer()
	}
	if b.inChunk {
		line, err := b.readLine()
		if err != nil {
			return err
		}
		if line != "" {
			return malformed("a chunk is longer than its size")
		}
		b.inChunk = false
	}
	line, err := b.readLine()
	if err != nil {
		return err
	}
	size, err := parseChunkLine(line)
	if err != nil {
		return err
	}
	b.overhead = max(0, b.overhead+int64(len(line))-usualChunkLine-min(size, maxOverhead))
	if b.overhead > maxOverhead {
		return malformed("its chunks carry less than their lines")
	}
	b.left, b.inChunk, b.last = size, size > 0, size == 0
	return nil
}

// readLine reads a line that ends with CRLF. A chunk line has no other end (RFC 9112, section 7.1).
func (b *Body) readLine() (string, error) {
	line, err := b.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", malformed("a chunk line is too long")
	}
	if err != nil {
		return "", unexpected(err)
	}
	text, ok := strings.CutSuffix(string(line), "\r\n")
	if !ok {
		return "", malformed("a chunk line does not end with CRLF")
	}
	return text, nil
}

// readTrailer reads the trailers and returns io.EOF. It drops those that have a meaning only in a head.
func (b *Body) readTrailer() error {
	block, err := readBlock(b.reader, maxTrailerBytes, maxTrailerLines)
	if err != nil {
		return err
	}
	fields, err := parseFields(block)
	if err != nil {
		return err
	}
	for name := range fields {
		if framesMessage(name) {
			delete(fields, name)
		}
	}
	b.trailer = fields
	return io.EOF
}

// parseChunkLine returns the size that a chunk line states, and checks its extensions:
//
//	chunk-size *( BWS ";" BWS token [ BWS "=" BWS ( token / quoted-string ) ] )
func parseChunkLine(line string) (size int64, err error) {
	digits := 0
	for digits < len(line) && hexValue(line[digits]) >= 0 {
		if size >= 1<<59 {
			return 0, malformed("a chunk size is too large")
		}
		size = size<<4 | hexValue(line[digits])
		digits++
	}
	if digits == 0 {
		return 0, malformed("a chunk has no size")
	}
	rest := line[digits:]
	for rest != "" {
		if rest, err = cutExtension(rest); err != nil {
			return 0, err
		}
	}
	return size, nil
}

// cutExtension returns what follows the first extension in text.
func cutExtension(text string) (rest string, err error) {
	rest, ok := strings.CutPrefix(strings.TrimLeft(text, " \t"), ";")
	name, rest := cutToken(strings.TrimLeft(rest, " \t"))
	if !ok || name == "" {
		return "", malformed("a chunk extension has no name")
	}
	value, ok := strings.CutPrefix(strings.TrimLeft(rest, " \t"), "=")
	if !ok {
		return rest, nil
	}
	value = strings.TrimLeft(value, " \t")
	if strings.HasPrefix(value, `"`) {
		return cutQuoted(value)
	}
	token, rest := cutToken(value)
	if token == "" {
		return "", malformed("a chunk extension has no value")
	}
	return rest, nil
}

func cutToken(text string) (token, rest string) {
	end := 0
	for end < len(text) && isTokenChar[text[end]] {
		end++
	}
	return text[:end], text[end:]
}

// cutQuoted returns what follows the quoted string at the start of text.
func cutQuoted(text string) (rest string, err error) {
	for i := 1; i < len(text); i++ {
		switch {
		case text[i] == '"':
			return text[i+1:], nil
		case text[i] == '\\' && i+1 < len(text):
			i++
		}
		if !isText(text[i : i+1]) {
			break
		}
	}
	return "", malformed("a chunk extension has an invalid quoted string")
}

func hexValue(c byte) int64 {
	switch {
	case isDigit(c):
		return int64(c - '0')
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10
	default:
		return -1
	}
}
