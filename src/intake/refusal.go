package intake

import (
	"errors"
	"os"
	"time"

	"github.com/stilemast/stilemast/src/code"
)

// retryAfter is when the caller of a request may return for whose body there was no memory.
const retryAfter = time.Second

// Refusal returns the refusal of a request whose body was not received because of an error, nil if that is not one of time, size or
// memory. None of the request ran.
func Refusal(err error, field, detail string) *code.Error {
	switch {
	case errors.Is(err, ErrNoRoom), errors.Is(err, ErrEvicted):
		refused := code.New(code.MemoryFull, field, "%v; %s", err, detail)
		refused.RetryAfter = retryAfter
		return refused
	case errors.Is(err, ErrTooLarge):
		return code.New(code.MessageTooLarge, field, "%v", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return code.New(code.BodyTimeout, field, "did not arrive in time; %s", detail)
	}
	return nil
}
