package baseline

import (
	"io"
	"net/http"
	"sync/atomic"
)

// Forwarder forwards each request to the next of its endpoints and copies the answer. It has no queues, limits, retries or checks that the configuration is current.
type Forwarder struct {
	tr        *http.Transport
	addresses []string
	requests  atomic.Uint64
}

const idleConnsPerEndpoint = 256

// New returns a forwarder to the endpoints with the given ip:port addresses.
func New(addresses ...string) *Forwarder {
	return &Forwarder{tr: &http.Transport{MaxIdleConnsPerHost: idleConnsPerEndpoint, DisableCompression: true}, addresses: addresses}
}

// ServeHTTP forwards a request; it responds with 502 if the endpoint does not answer.
func (fw *Forwarder) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	addr := fw.addresses[fw.requests.Add(1)%uint64(len(fw.addresses))]
	out := rq.Clone(rq.Context())
	out.URL.Scheme = "http"
	out.URL.Host = addr
	out.RequestURI = ""
	res, err := fw.tr.RoundTrip(out)
	if err != nil {
		wr.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = res.Body.Close() }()
	for name, vals := range res.Header {
		wr.Header()[name] = vals
	}
	wr.WriteHeader(res.StatusCode)
	_, _ = io.Copy(wr, res.Body)
}

// Close closes idle connections.
func (fw *Forwarder) Close() { fw.tr.CloseIdleConnections() }
