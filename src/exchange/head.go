package exchange

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/intake"
)

// MalformedError is the error of bytes that are not a response in HTTP/1.1 (RFC 9112), or not one to the request.
type MalformedError struct{ Reason string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed response: " + e.Reason }

// maxReason bounds a reason, which quotes what the server sent, in bytes.
const maxReason = 200

func malformed(format string, args ...any) error {
	reason := fmt.Sprintf(format, args...)
	return &MalformedError{Reason: reason[:min(len(reason), maxReason)]}
}

// IsMalformed reports whether a server sent something that is not a response, in place of one or within one, or too much.
func IsMalformed(err error) bool {
	var m *MalformedError
	return errors.As(err, &m) || errors.Is(err, ErrHeadTooLong) || IsTooLarge(err)
}

// IsTooLarge reports whether a body, or an event in it, is larger than allowed.
func IsTooLarge(err error) bool {
	var c *code.Error
	return errors.Is(err, intake.ErrTooLarge) || errors.As(err, &c) && c.Code == code.MessageTooLarge
}

// report passes a malformed response on to OnMalformed.
func (cn *conn) report(err error) {
	if cn.client.OnMalformed != nil && IsMalformed(err) {
		cn.client.OnMalformed(cn.to, err)
	}
}

// readResponse reads the next response on the connection, interim ones included, and checks its head. All responses pass through it,
// since http.ReadResponse accepts any number as the status or version, and blanks within field names.
func (cn *conn) readResponse(r *Request) (*http.Response, error) {
	cn.startHead()
	resp, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
	head := cn.endHead()
	switch {
	case err != nil && cn.readErr == nil:
		return nil, malformed("%v", err)
	case err != nil:
		return nil, err
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	if err := r.checkFields(resp.Header); err != nil {
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{ReadCloser: resp.Body, conn: cn, response: resp}
	}
	return resp, nil
}

// startHead starts recording the bytes of a head.
func (cn *conn) startHead() {
	buffered, _ := cn.reader.Peek(cn.reader.Buffered())
	cn.head, cn.inHead, cn.readErr = bytes.Clone(buffered), true, nil
}

// endHead returns the recorded bytes without those that have not been consumed.
func (cn *conn) endHead() []byte {
	head := cn.head[:len(cn.head)-cn.reader.Buffered()]
	cn.head, cn.inHead = nil, false
	return head
}

// checkHead checks the head of a response, up to its empty line.
func checkHead(head []byte) error {
	status, fields, _ := bytes.Cut(head, []byte("\n"))
	status = trimLineEnd(status)
	if err := checkStatusLine(status); err != nil {
		return err
	}
	length, encoding := false, false
	for line := range bytes.Lines(fields) {
		line = trimLineEnd(line)
		if len(line) == 0 {
			break
		}
		if line[0] == ' ' || line[0] == '\t' { // continues the value of the line before
			if !httpguts.ValidHeaderFieldValue(string(line)) {
				return malformed("value of a field %q", line)
			}
			continue
		}
		name, value, found := strings.Cut(string(line), ":")
		if !found || !httpguts.ValidHeaderFieldName(name) {
			return malformed("name of a field %q", name)
		}
		if !httpguts.ValidHeaderFieldValue(value) {
			return malformed("value of %s %q", name, value)
		}
		length = length || strings.EqualFold(name, "Content-Length")
		encoding = encoding || strings.EqualFold(name, "Transfer-Encoding")
	}
	switch {
	case encoding && length:
		return malformed("Content-Length beside Transfer-Encoding")
	case encoding && bytes.HasPrefix(status, []byte("HTTP/1.0")):
		return malformed("Transfer-Encoding in HTTP/1.0")
	}
	return nil
}

// trimLineEnd removes the end of a line. A line may also end with a bare line feed (RFC 9112, section 2.2).
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// checkStatusLine checks a status line (RFC 9112, section 4). The reason may be absent with the blank before it.
func checkStatusLine(line []byte) error {
	version, rest, _ := strings.Cut(string(line), " ")
	status, reason, _ := strings.Cut(rest, " ")
	switch {
	case len(version) != len("HTTP/1.1") || !strings.HasPrefix(version, "HTTP/1.") || !isDigit(version[len(version)-1]):
		return malformed("version %q", version)
	case len(status) != 3 || status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]):
		return malformed("status %q", status)
	case status == "101":
		return malformed("switches protocols without being asked to")
	case !httpguts.ValidHeaderFieldValue(reason):
		return malformed("reason %q", reason)
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// checkFields checks fields that must have one value, and that the body has no content coding that the request does not accept.
func (r *Request) checkFields(h http.Header) error {
	for _, name := range r.Single {
		if values := h.Values(name); len(values) > 1 && slices.ContainsFunc(values, func(v string) bool { return v != values[0] }) {
			return malformed("several values of %s", name)
		}
	}
	accepted := strings.Join(r.Header.Values("Accept-Encoding"), ",")
	for _, codings := range h.Values("Content-Encoding") {
		for coding := range strings.SplitSeq(codings, ",") {
			if !listsCoding(accepted, strings.TrimSpace(coding)) {
				return malformed("content coding %q", coding)
			}
		}
	}
	return nil
}

// listsCoding reports whether an Accept-Encoding field lists a content coding, or all by "*".
func listsCoding(accepted, coding string) bool {
	for item := range strings.SplitSeq(accepted, ",") {
		name, weight, _ := strings.Cut(item, ";")
		name = strings.TrimSpace(name)
		if (name == "*" || strings.EqualFold(name, coding)) && strings.Trim(weight, " \t") != "q=0" {
			return true
		}
	}
	return false
}

// chunkedBody is a body in chunks. It tells malformed chunks and trailers from a broken connection.
type chunkedBody struct {
	io.ReadCloser
	conn     *conn
	response *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err = b.check(err); err != nil {
		b.conn.report(err)
	}
	return n, err
}

// check returns the error of a read, or why what was read is malformed.
func (b *chunkedBody) check(err error) error {
	switch {
	case err == io.EOF:
		for name := range b.response.Trailer {
			if !httpguts.ValidHeaderFieldName(name) {
				return malformed("name of a trailer %q", name)
			}
		}
	case err != nil && b.conn.readErr == nil:
		return malformed("%v", err)
	}
	return err
}
