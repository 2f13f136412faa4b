package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// fixedLengthBody is a body with a Content-Length.
type fixedLengthBody struct {
	r         *bufio.Reader
	remaining int
}

// Read implements io.Reader.
func (b *fixedLengthBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p[:min(len(p), b.remaining)])
	switch b.remaining -= n; {
	case b.remaining == 0:
		return n, io.EOF
	case err == io.EOF:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkPosition says what the next byte of a body in chunks belongs to.
type chunkPosition uint8

// The positions.
const (
	atChunkSize chunkPosition = iota // the line that begins a chunk
	inChunk
	atChunkEnd // the line end behind a chunk
	inTrailer  // a line of the trailer, or the empty line that ends the body
	atBodyEnd
)

// chunkedBody is a body in chunks, with the trailer, which is skipped. A read that fails consumes nothing that the position
// does not account for: the next one, in this process or another one, goes on where it stopped. The zero value, with a
// reader, is at the beginning of a body.
type chunkedBody struct {
	r         *bufio.Reader
	position  chunkPosition
	remaining int // bytes that have not come of the current chunk; in the trailer, bytes that it may still have
}

// errMalformedChunk is the error for a chunk that cannot be parsed.
var errMalformedChunk = errors.New("malformed chunk")

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	for b.position != inChunk {
		if b.position == atBodyEnd {
			return 0, io.EOF
		}
		if err := b.readLine(); err != nil {
			return 0, err
		}
	}
	n, err := b.r.Read(p[:min(len(p), b.remaining)])
	if b.remaining -= n; b.remaining == 0 {
		b.position = atChunkEnd
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// readLine reads a line outside chunks, if all of it has come.
func (b *chunkedBody) readLine() error {
	line, err := peekLine(b.r)
	if err != nil {
		return err
	}
	content := bytes.TrimRight(line, "\r\n")
	switch b.position {
	case atChunkSize:
		err = b.beginChunk(content)
	case atChunkEnd:
		err = b.endChunk(content)
	case inTrailer:
		err = b.skipField(content, len(line))
	}
	if err != nil {
		return err
	}
	_, err = b.r.Discard(len(line))
	return err
}

// beginChunk parses the line that begins a chunk; the last chunk is empty.
func (b *chunkedBody) beginChunk(line []byte) error {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
	switch {
	case err != nil:
		return errMalformedChunk
	case n == 0:
		b.position, b.remaining = inTrailer, MaxHead
	default:
		b.position, b.remaining = inChunk, int(n)
	}
	return nil
}

// endChunk checks the line end behind a chunk.
func (b *chunkedBody) endChunk(line []byte) error {
	if len(line) > 0 {
		return errMalformedChunk
	}
	b.position = atChunkSize
	return nil
}

// skipField skips a line of the trailer, or the empty line behind it. length is that of the line with its line end.
func (b *chunkedBody) skipField(line []byte, length int) error {
	switch b.remaining -= length; {
	case len(line) == 0:
		b.position = atBodyEnd
	case b.remaining <= 0:
		return errTooLong
	}
	return nil
}

// peekLine returns the next line with its line end, without consuming it.
func peekLine(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; {
		text, err := r.Peek(max(n, r.Buffered()))
		if end := bytes.IndexByte(text, '\n'); end >= 0 {
			return text[:end+1], nil
		}
		switch {
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		n = len(text) + 1
	}
}
