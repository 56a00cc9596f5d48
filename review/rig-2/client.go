package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	routeHost = "ficu95.example"
	tenantKey = "i9n73hh2b9wu3fexd9dn"
	otherKey  = "n2ctnfzs989anu6wsjnb"
	// tokensPerSecond is the allotment of the tenant. It is above what any case asks for.
	tokensPerSecond = 4_000_000
)

// document returns a configuration with a stream route, an idempotent and a non-idempotent route.
func document(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
{"name":"r-read","host":%q,"path_prefix":"/read/","route_kind":"idempotent","timeout_ms":1200,"aim_ms":150,"priority":2,"service":"app","max_attempts":2,"public":false,"sticky":false,"resumable":false},
{"name":"r-order","host":%q,"path_prefix":"/order/","route_kind":"non_idempotent","timeout_ms":1200,"aim_ms":150,"priority":2,"service":"app","max_attempts":1,"public":false,"sticky":false,"resumable":false},
{"name":"r-look","host":%q,"path_prefix":"/look/","route_kind":"streaming","timeout_ms":3000,"aim_ms":400,"priority":2,"service":"model","max_attempts":1,"public":false,"sticky":true,"resumable":false,"itl_target_ms":250}],
"services":[{"name":"app","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false},
{"name":"model","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity":494091,"kv_bytes":163840,"link_mbps":740000.0,"moves":true,"backups":true,"stride":6,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":[%q,%q],"priority":1,"unit":"tokens","uncached_tokens":200,"rate_per_s":%d,"burst":%d}]}`,
		version, routeHost, routeHost, routeHost, tenantKey, otherKey, tokensPerSecond, tokensPerSecond)
}

// call is a request of a requester.
type call struct {
	method, path, id string
	body             string
	header           []string
	deadline         time.Duration
}

// head returns the head of the request, with the empty line at its end.
func (q call) head() string {
	lines := []string{
		q.method + " " + q.path + " HTTP/1.1", "Host: " + routeHost, "X-Dragonflycroft-Attempt-Id: " + q.id,
		fmt.Sprintf("X-Dragonflycroft-Deadline-Ms: %d", q.deadline.Milliseconds()), "Authorization: Token " + tenantKey,
	}
	return strings.Join(append(lines, q.header...), "\r\n") + "\r\n\r\n"
}

// lookup returns a request for a stream.
func lookup(id string) call {
	return call{
		method: http.MethodPost, path: "/look/2f", id: id, body: "prompt", deadline: 3 * time.Second,
		header: []string{
			"X-Dragonflycroft-Model: m", "X-Dragonflycroft-Token-Count: 1460,80", "X-Dragonflycroft-Prompt-Prefix: 5c1e07a2:60,e4402b7d:1400",
			"Content-Length: 6",
		},
	}
}

// answer is what a requester has received.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
	took     time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("status=%d complete=%t body=%d bytes error=%v after %.3f s", a.status, a.complete, len(a.body), a.err, a.took.Seconds())
}

// send sends a request on a new channel and reads the answer until the requester gives up.
func send(addr string, q call, patience time.Duration) answer {
	began := time.Now()
	a := exchange(addr, q, began.Add(patience))
	a.took = time.Since(began)
	return a
}

func exchange(addr string, q call, until time.Time) answer {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(until); err != nil {
		return answer{err: err}
	}
	if _, err := io.WriteString(c, q.head()+q.body); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c), q.method)
}

// readAnswer reads one answer. It is complete if its body has come to its proper end.
func readAnswer(reader *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: body, complete: err == nil, err: err}
}
