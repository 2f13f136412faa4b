package httpwire

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// maxFields is the largest number of lines of a request's head, and of a trailer. Parsed, a field takes a hundred bytes and more,
// however short it is: a head of MaxHead bytes could take 200 KiB.
const maxFields = 100

// errBareLineFeed is the error for a head whose first line does not end in CR LF.
var errBareLineFeed = errors.New("head: its first line does not end in CR LF")

// errTooManyFields is the error for a head or a trailer with more than maxFields lines.
var errTooManyFields = fmt.Errorf("head: more than %d lines", maxFields)

// scanState says what the next byte of a connection belongs to.
type scanState uint8

const (
	scanBetween   scanState = iota // before a request; empty lines are skipped, as the parser does
	scanHead                       // a line of a head
	scanBody                       // a body of known length, or a chunk
	scanChunkEnd                   // the line end behind a chunk
	scanChunkSize                  // the line that begins a chunk
	scanTrailer                    // a line of a trailer
	scanLost                       // the framing can't be followed
)

// requestScanner follows the framing of the requests on a connection and counts the lines of their heads before these are parsed.
// It limits and checks the end of the first line, which the parser does not tell; the parser decides what else is a valid request. The
// zero value expects a request.
type requestScanner struct {
	state    scanState
	lines    int                  // complete lines of the present head or trailer
	left     int                  // bytes of the present body or chunk that have not come
	length   int                  // Content-Length of the present head
	chunked  bool                 // the present head names a transfer coding
	line     [maxScannedLine]byte // the beginning of the present line, without spaces
	lineLen  int                  // bytes of it
	afterCR  bool                 // the last byte outside bodies was a carriage return
	requests int                  // heads that have begun
}

// maxScannedLine is the most that is kept of a line, in bytes: enough for the fields that tell a body's length.
const maxScannedLine = 48

// errLostFraming is the error with which a scanner loses track. The parser rejects such a message, or its connection is closed.
var errLostFraming = errors.New("head: its length can't be told")

// scan follows the next bytes of the connection. It returns how many of them may be passed on; with fewer than all, the rest must
// not be, and the error says why.
func (s *requestScanner) scan(b []byte) (accepted int, err error) {
	for i := 0; i < len(b); {
		switch s.state {
		case scanLost:
			return len(b), errLostFraming
		case scanBody:
			n := min(s.left, len(b)-i)
			s.left -= n
			i += n
			if s.left == 0 {
				s.endBody()
			}
		default:
			if err := s.scanByte(b[i]); err != nil {
				return i, err
			}
			i++
		}
	}
	return len(b), nil
}

// endBody continues behind the last byte of a body or a chunk.
func (s *requestScanner) endBody() {
	if s.chunked {
		s.state = scanChunkEnd
	} else {
		s.state = scanBetween
	}
}

// scanByte follows a byte that is not part of a body.
func (s *requestScanner) scanByte(c byte) error {
	afterCR := s.afterCR
	s.afterCR = c == '\r'
	switch {
	case s.state == scanBetween && (c == '\r' || c == '\n'):
	case s.state == scanBetween:
		s.requests++
		s.state, s.lines, s.length, s.chunked, s.lineLen = scanHead, 0, 0, false, 0
		s.addToLine(c)
	case c != '\n':
		s.addToLine(c)
	case s.state == scanHead && s.lines == 0 && !afterCR:
		return errBareLineFeed
	default:
		line := s.line[:s.lineLen]
		s.lineLen = 0
		return s.endLine(line)
	}
	return nil
}

// addToLine adds a byte to the present line.
func (s *requestScanner) addToLine(c byte) {
	if c != ' ' && c != '\t' && c != '\r' && s.lineLen < maxScannedLine {
		s.line[s.lineLen] = c
		s.lineLen++
	}
}

// endLine follows the end of a line.
func (s *requestScanner) endLine(line []byte) error {
	switch s.state {
	case scanChunkEnd:
		s.state = scanChunkSize
		return nil
	case scanChunkSize:
		s.beginChunk(line)
		return nil
	}
	if s.lines++; s.lines > maxFields {
		return errTooManyFields
	}
	switch {
	case len(line) > 0 && s.state == scanHead:
		s.noteField(line)
	case len(line) == 0 && s.state == scanTrailer:
		s.state = scanBetween
	case len(line) == 0:
		s.endHead()
	}
	return nil
}

// Fields that tell the length of a body, as they stand in a line without spaces.
var (
	lengthField = []byte("content-length:")
	codingField = []byte("transfer-encoding:")
)

// noteField notes a field of a head that tells the length of the body.
func (s *requestScanner) noteField(line []byte) {
	switch {
	case hasPrefixFold(line, lengthField):
		length, err := strconv.ParseUint(string(line[len(lengthField):]), 10, 31)
		if s.length = int(length); err != nil {
			s.state = scanLost
		}
	case hasPrefixFold(line, codingField):
		s.chunked = true
	}
}

// hasPrefixFold reports whether a line begins with a prefix, in any case of letters.
func hasPrefixFold(line, prefix []byte) bool {
	return len(line) >= len(prefix) && bytes.EqualFold(line[:len(prefix)], prefix)
}

// endHead continues behind a head.
func (s *requestScanner) endHead() {
	switch s.left = s.length; {
	case s.chunked:
		s.state = scanChunkSize
	case s.left > 0:
		s.state = scanBody
	default:
		s.state = scanBetween
	}
}

// beginChunk continues behind the line that tells a chunk's size.
func (s *requestScanner) beginChunk(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(size), 16, 31)
	switch s.left = int(n); {
	case err != nil:
		s.state = scanLost
	case s.left == 0:
		s.state, s.lines = scanTrailer, 0
	default:
		s.state = scanBody
	}
}
