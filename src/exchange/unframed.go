package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrRequestCut is returned at the end of a response without a length whose connection failed before the request was written.
var ErrRequestCut = errors.New("the connection failed before the request was written")

// isUnframed reports whether a response ends with its connection.
func isUnframed(r *http.Response) bool { return r.ContentLength < 0 && len(r.TransferEncoding) == 0 }

// unframedBody is the body of a response that ends with its connection, while the request may still be written. A reset is told
// either to the read or to the write, so that only both together show that the response is whole.
type unframedBody struct {
	io.ReadCloser
	written func() error // waits for the end of the write
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if cut := b.written(); cut != nil {
		return n, fmt.Errorf("%w: %w", ErrRequestCut, cut)
	}
	return n, io.EOF
}
