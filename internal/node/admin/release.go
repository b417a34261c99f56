package admin

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"

	"github.com/gin-gonic/gin"

	"github.com/gypsumrail/gypsumrail"
)

// ReleasePath is the path of POST requests that end the quarantine of a request, with the
// query parameter releaseField.
const (
	ReleasePath  = "/release"
	releaseField = "Fingerprint"
)

// ReleaseHandler returns the handler of ReleasePath. It gives the reducer an event by post
// and answers 204, or 400 if the fingerprint is malformed.
func ReleaseHandler(post func(*gypsumrail.Event)) gin.HandlerFunc {
	return func(c *gin.Context) {
		fingerprint, ok := gypsumrail.ParseFingerprint(c.Query(releaseField))
		if !ok {
			c.String(http.StatusBadRequest, "%s: 16 hexadecimal digits are required, as in the status\n", releaseField)
			return
		}
		post(&gypsumrail.Event{Kind: gypsumrail.ReleaseAsked, Fingerprint: fingerprint})
		c.Status(http.StatusNoContent)
	}
}

// Release ends the quarantine or suspicion of a request at the node, which tells its peers.
// It returns false if the node does not hold the request for one that crashes targets.
func (c *Client) Release(ctx context.Context, fingerprint uint64) (bool, error) {
	status, err := c.Status(ctx)
	if err != nil {
		return false, err
	}
	if !slices.ContainsFunc(status.Node.Judgments, func(j gypsumrail.Judgment) bool { return j.Fingerprint == fingerprint }) {
		return false, nil
	}
	path := ReleasePath + "?" + url.Values{releaseField: {gypsumrail.FormatFingerprint(fingerprint)}}.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, http.NoBody)
	if err != nil {
		return false, fmt.Errorf("node at %s: %w", c.address, err)
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return false, fmt.Errorf("node at %s: %w", c.address, err)
	}
	defer answer.Body.Close() //nolint:errcheck // nothing was written
	if answer.StatusCode != http.StatusNoContent {
		return false, fmt.Errorf("node at %s: %s: %w: %s", c.address, ReleasePath, ErrNotNode, answer.Status)
	}
	return true, nil
}
