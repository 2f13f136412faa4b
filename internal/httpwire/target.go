package httpwire

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// pathAndQuery returns the path and query of a request target, which may be an absolute URI.
func pathAndQuery(uri []byte) []byte {
	scheme, rest, absolute := bytes.Cut(uri, []byte("://"))
	if !absolute || !bytes.EqualFold(scheme, []byte("http")) {
		return uri
	}
	switch at := bytes.IndexAny(rest, "/?#"); {
	case at < 0:
		return []byte("/")
	case rest[at] != '/':
		return append([]byte("/"), rest[at:]...)
	default:
		return rest[at:]
	}
}

// classOf returns the first segment of a request's path, which names its class.
func classOf(uri []byte) (string, error) {
	if len(uri) == 0 || uri[0] != '/' {
		return "", fmt.Errorf("path: %q does not begin with /", uri)
	}
	part := uri[1:]
	if end := bytes.IndexAny(part, "/?#"); end >= 0 {
		part = part[:end]
	}
	if len(part) == 0 {
		return "", fmt.Errorf("path: %q names no class", uri)
	}
	return string(part), nil
}

// checkTarget rejects the path and query of a request where an endpoint could take them for those of another class, or where they hold
// what HTTP does not allow there.
func checkTarget(uri string) error {
	if strings.Contains(uri, "#") {
		return errors.New("path: it has a fragment")
	}
	path, _, _ := strings.Cut(uri, "?")
	for segment := range strings.SplitSeq(path, "/") {
		if strings.ReplaceAll(strings.ToLower(segment), "%2e", ".") == ".." {
			return fmt.Errorf("path: %q leads out of its class", path)
		}
	}
	return nil
}

// checkID rejects an id that is empty, or that another parser could take for two or cut: HTTP joins the values of repeated fields with a
// comma and drops spaces round them.
func checkID(id string) error {
	if id == "" {
		return errors.New("missing")
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c == ',' || c > '~' {
			return fmt.Errorf("%q holds more than visible ASCII without commas", id)
		}
	}
	return nil
}
