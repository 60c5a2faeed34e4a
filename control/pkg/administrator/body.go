package administrator

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
)

// wholeSerializer reads one JSON value and fails unless the body ends after it, in order. A decoder alone is content with the first
// value of a body that breaks off or goes on.
type wholeSerializer struct{ echo.DefaultJSONSerializer }

// Deserialize implements echo.JSONSerializer.
func (wholeSerializer) Deserialize(c echo.Context, into any) error {
	decoder := json.NewDecoder(c.Request().Body)
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "decode body")
	}
	switch _, err := decoder.Token(); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return errors.Wrap(err, "read body to its end")
	default:
		return errors.New("the body goes on after its value")
	}
}
