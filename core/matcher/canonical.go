package matcher

import (
	"strconv"
	"strings"
)

// canonical returns the form of path by which paths are compared (RFC 3986, section 6.2.2). Characters that need no encoding
// are decoded. All others stay encoded, since an encoded delimiter, such as a slash, is not the delimiter itself.
func canonical(path string) string {
	if !strings.ContainsFunc(path, func(r rune) bool { return r > 0x7f || !isPlain(byte(r)) }) {
		return path
	}
	var b strings.Builder
	for i := 0; i < len(path); i++ {
		c := path[i]
		if decoded, ok := decode(path[i:]); ok {
			c, i = decoded, i+2
			if !isUnreserved(c) {
				encode(&b, c)
				continue
			}
		}
		if !isPlain(c) {
			encode(&b, c)
			continue
		}
		_ = b.WriteByte(c)
	}
	return b.String()
}

// decode returns the byte whose percent-encoding begins text.
func decode(text string) (byte, bool) {
	if len(text) < 3 || text[0] != '%' {
		return 0, false
	}
	value, err := strconv.ParseUint(text[1:3], 16, 8)
	return byte(value), err == nil
}

func encode(b *strings.Builder, c byte) {
	const digits = "0123456789ABCDEF"
	_, _ = b.Write([]byte{'%', digits[c>>4], digits[c&15]})
}

func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// isPlain reports whether c stands for itself in a path.
func isPlain(c byte) bool { return isUnreserved(c) || strings.IndexByte("/:@!$&'()*+,;=", c) >= 0 }
