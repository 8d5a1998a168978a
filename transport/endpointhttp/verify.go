package endpointhttp

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// verifyTimeout bounds a verification.
	verifyTimeout = time.Second
	// maxVerificationBytes bounds the body of the response to a verification.
	maxVerificationBytes = 256 << 10
)

var errNotKept = eris.New("the connection can't be used after its verification")

// Verification finds out which incarnation of an endpoint a connection reaches. As long as the connection
// is open, it reaches the same one.
type Verification struct {
	// Request is sent on the connection. Its response is passed to Check, whose error ends the connection.
	Request *Request
	Check   func(status int, body []byte) error
}

// verify verifies a connection.
func (p *Pool) verify(ctx context.Context, c *conn, instance string, v *Verification) error {
	timeout := time.AfterFunc(verifyTimeout, func() { _ = c.Close() })
	defer timeout.Stop()
	response, err := c.exchange(ctx, v.Request)
	if err != nil {
		p.noteBroken(ctx, instance, err)
		return eris.Wrap(err, "verify connection")
	}
	response.pool, response.instance = p, instance
	body, err := io.ReadAll(io.LimitReader(response.Body, maxVerificationBytes))
	if err != nil {
		return eris.Wrap(err, "verify connection")
	}
	if err := v.Check(response.Status, body); err != nil {
		return err
	}
	if !response.keepsConnection() {
		return errNotKept
	}
	c.verified = true
	return nil
}
