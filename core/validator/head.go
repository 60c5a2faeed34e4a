// Package validator reads HTTP/1.1 responses and decides whether they are well-formed (RFC 9110 and 9112). It is strict where
// the grammar is, and lenient only where a proxy has to accept or may repair what it receives: a missing reason phrase, line
// feeds that end the lines of a head, and folded field lines.
package validator

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrMalformed is the cause of the error for a response that is not well-formed. Nothing of such a response may be used.
var ErrMalformed = errors.New("the response is malformed")

// UnknownLength is the length of a body that the head does not state.
const UnknownLength = -1

// Framing states where a body ends. It is NoBody, Sized, Chunked or UntilClose.
type Framing interface{ framing() }

// NoBody is a response without a body, whatever its fields say.
type NoBody struct{}

// Sized is a body of Length bytes.
type Sized struct{ Length int64 }

// Chunked is a body in chunks.
type Chunked struct{}

// UntilClose is a body that ends when the sender closes the connection in order.
type UntilClose struct{}

func (NoBody) framing()     {}
func (Sized) framing()      {}
func (Chunked) framing()    {}
func (UntilClose) framing() {}

// Head is the head of a well-formed response of HTTP/1 with the version Minor. Fields does not hold Transfer-Encoding and
// Trailer. Length is what Content-Length states, or UnknownLength. Close is set if the connection carries no further response.
type Head struct {
	Status  int
	Minor   int
	Fields  http.Header
	Framing Framing
	Length  int64
	Close   bool
}

// The statuses of responses. Interim ones lie below the first final one.
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// FinalStatus reports whether status is that of a response which no other follows.
func FinalStatus(status int) bool { return status >= minFinalStatus && status <= maxStatus }

// Interim reports whether another response follows to the same request.
func (h Head) Interim() bool {
	return h.Status < minFinalStatus && h.Status != http.StatusSwitchingProtocols
}

// ReadHead reads the head of a response to a request with the given method. The error has the cause ErrMalformed unless
// reading failed.
func ReadHead(reader *bufio.Reader, method string) (Head, error) {
	block, err := readBlock(reader, maxHeadBytes, maxHeadLines)
	if err != nil {
		return Head{}, err
	}
	line, block, _ := strings.Cut(block, "\n")
	head := Head{Length: UnknownLength}
	if head.Status, head.Minor, err = parseStatusLine(strings.TrimSuffix(line, "\r")); err != nil {
		return Head{}, err
	}
	if head.Fields, err = parseFields(block); err != nil {
		return Head{}, err
	}
	if err := head.frame(method); err != nil {
		return Head{}, err
	}
	head.Close = head.closes()
	delete(head.Fields, "Trailer")
	return head, nil
}

// parseStatusLine returns the status and the minor version of a status line. The space before an empty reason phrase may be
// missing, as it is in responses of common servers.
func parseStatusLine(line string) (status, minor int, err error) {
	const prefix = "HTTP/1."
	const shortest = len("HTTP/1.1 200")
	if len(line) < shortest || !strings.HasPrefix(line, prefix) || !isDigit(line[len(prefix)]) || line[len(prefix)+1] != ' ' {
		return 0, 0, malformed("its status line has no supported version")
	}
	for _, digit := range []byte(line[shortest-3 : shortest]) {
		if !isDigit(digit) {
			return 0, 0, malformed("its status is no number")
		}
		status = status*10 + int(digit-'0')
	}
	if status < minStatus || status > maxStatus {
		return 0, 0, malformed("its status is out of range")
	}
	if rest := line[shortest:]; rest != "" && (rest[0] != ' ' || !isText(rest)) {
		return 0, 0, malformed("its reason phrase is invalid")
	}
	return status, int(line[len(prefix)] - '0'), nil
}

// frame checks the fields that state the length of the body, and sets the framing (RFC 9112, section 6.3).
func (h *Head) frame(method string) error {
	codings, encoded := h.Fields["Transfer-Encoding"]
	delete(h.Fields, "Transfer-Encoding")
	lengths, sized := h.Fields["Content-Length"]
	if encoded {
		if err := checkCodings(codings, h.Minor, sized); err != nil {
			return err
		}
	}
	if sized {
		length, err := parseLength(lengths)
		if err != nil {
			return err
		}
		h.Length = length
		h.Fields["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	switch {
	case method == http.MethodHead || h.bodiless():
		h.Framing = NoBody{}
	case encoded:
		h.Framing = Chunked{}
	case sized:
		h.Framing = Sized{h.Length}
	default:
		h.Framing = UntilClose{}
	}
	return nil
}

// bodiless reports whether a response with the status has no body, whatever its fields say.
func (h *Head) bodiless() bool {
	return h.Status < minFinalStatus || h.Status == http.StatusNoContent || h.Status == http.StatusNotModified
}

// checkCodings checks Transfer-Encoding. A coding other than chunked alone was not asked for, and one in HTTP/1.0 or beside a
// length is read in different ways.
func checkCodings(codings []string, minor int, sized bool) error {
	switch {
	case sized:
		return malformed("it has both Transfer-Encoding and Content-Length")
	case minor == 0:
		return malformed("it has Transfer-Encoding in HTTP/1.0")
	case len(codings) != 1 || !strings.EqualFold(codings[0], "chunked"):
		return malformed("its transfer coding is not chunked alone")
	default:
		return nil
	}
}

// parseLength returns the length that the values of Content-Length agree on. A list of equal lengths is a known fault of
// gateways that join fields, and stands for one of them (RFC 9112, section 6.3).
func parseLength(values []string) (int64, error) {
	length := int64(UnknownLength)
	for _, value := range values {
		for item := range strings.SplitSeq(value, ",") {
			parsed, err := strconv.ParseUint(strings.Trim(item, " \t"), 10, 63)
			if err != nil {
				return 0, malformed("its Content-Length is no number")
			}
			if length != UnknownLength && length != int64(parsed) {
				return 0, malformed("its lengths differ")
			}
			length = int64(parsed)
		}
	}
	return length, nil
}

// closes reports whether the sender closes the connection after the response.
func (h *Head) closes() bool {
	if _, ok := h.Framing.(UntilClose); ok {
		return true
	}
	kept := h.Minor > 0
	for _, value := range h.Fields["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			switch option = strings.Trim(option, " \t"); {
			case strings.EqualFold(option, "close"):
				return true
			case strings.EqualFold(option, "keep-alive"):
				kept = true
			}
		}
	}
	return !kept
}

func malformed(reason string) error { return errors.Wrap(ErrMalformed, reason) }
