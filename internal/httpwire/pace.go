package httpwire

import "time"

// Limits on the requests that one connection may bring. Usual callers send the next one when they have an answer.
const (
	maxRequestRate  = 500 // a second
	maxRequestBurst = 100 // that may come at once
)

// requestPace limits the rate of the requests on a connection. Guards against a caller that keeps the sidecar's one processor busy:
// its next requests wait in the kernel, and those of others have their turn. The zero value has a whole burst left.
type requestPace struct {
	counted int           // requests that were counted
	debt    time.Duration // time that the counted requests take at maxRequestRate, less the time since
	at      time.Time     // when debt was computed
}

// wait counts the requests of a connection, given their number so far, and returns how long to wait before it is read again.
func (p *requestPace) wait(now time.Time, requests int) time.Duration {
	const each = time.Second / maxRequestRate
	p.debt = max(0, p.debt-now.Sub(p.at)) + time.Duration(requests-p.counted)*each
	p.at, p.counted = now, requests
	return max(0, p.debt-maxRequestBurst*each)
}
