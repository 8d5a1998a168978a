package endpointhttp

import (
	"context"
	"errors"
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

// ErrCannotVerify is returned by a Check if the endpoint doesn't tell its incarnations apart. The request
// is then sent on another connection.
var ErrCannotVerify = eris.New("the endpoint does not report its incarnation")

var errNotKept = eris.New("the connection can't be used after its verification")

// Verification finds out which incarnation of an endpoint a connection reaches. As long as the connection
// is open, it reaches the same one.
type Verification struct {
	// Request is sent on the connection. Its response is passed to Check, whose error ends the connection.
	Request *Request
	Check   func(status int, body []byte) error
}

// verified returns a connection that was verified, which may be another one. It closes the connection if
// it fails.
func (p *Pool) verified(ctx context.Context, c *conn, t Target, v *Verification) (*conn, error) {
	err := p.verify(ctx, c, t.Instance, v)
	if err == nil {
		return c, nil
	}
	_ = c.Close()
	if !errors.Is(err, ErrCannotVerify) {
		return nil, err
	}
	other, err := p.dial(ctx, t)
	if err != nil {
		return nil, err
	}
	other.verified = true
	return other, nil
}

// verify verifies a connection.
func (p *Pool) verify(ctx context.Context, c *conn, instance string, v *Verification) error {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
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
	if !response.keepsConnection() || !timeout.Stop() || !stop() {
		return errNotKept
	}
	c.verified = true
	return nil
}
