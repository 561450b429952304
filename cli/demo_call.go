package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/magnoliawharf/magnoliawharf/standin/backend"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

// demoCall is one HTTP request of the demo and its response.
type demoCall struct {
	Title     string `json:"title"`
	Entry     string `json:"entry"` // node that received the request
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key,omitempty"`
	Status    int    `json:"status"`
	Upstream  string `json:"upstream,omitempty"` // instance whose upstream served it
	Version   string `json:"version,omitempty"`
	Refusal   string `json:"refusal,omitempty"`
	Ran       string `json:"ran,omitempty"`
	Run       string `json:"run,omitempty"` // ID of the execution at the upstream
	Bytes     int64  `json:"bytes"`
	Nested    string `json:"nested,omitempty"` // service and address that served the nested call
	TookMicro int64  `json:"took_us"`
}

// line returns the call in one line of text.
func (c demoCall) line() string {
	outcome := "served by " + c.Upstream
	if c.Refusal != "" {
		outcome = fmt.Sprintf("refused: %s, %s", c.Refusal, c.Ran)
	}
	if c.Nested != "" {
		outcome += ", which called " + c.Nested
	}
	return fmt.Sprintf("%-34s %s at %s -> %d, %s, %d bytes, %.1f ms\n",
		c.Title, c.Method+" "+c.Path, c.Entry, c.Status, outcome, c.Bytes, float64(c.TookMicro)/1000)
}

// do sends the request to the node at addr and fills in the response.
func (c *demoCall) do(ctx context.Context, addr string) error {
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+addr+c.Path, strings.NewReader(""))
	if err != nil {
		return err
	}
	if c.Key != "" {
		request.Header.Set(transport.HeaderIdempotency, c.Key)
	}
	start := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	// Keeps only the beginning of the body, which holds a whole JSON echo; the rest of a download is only counted.
	head, err := io.ReadAll(io.LimitReader(response.Body, 16<<10))
	if err != nil {
		return err
	}
	rest, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return err
	}
	c.TookMicro = time.Since(start).Microseconds()
	c.Status, c.Bytes = response.StatusCode, int64(len(head))+rest
	c.Upstream = response.Header.Get(transport.HeaderUpstream)
	c.Version = response.Header.Get(transport.HeaderVersion)
	c.Refusal, c.Ran = response.Header.Get(transport.HeaderRefusal), response.Header.Get(transport.HeaderRan)
	var echo, nested backend.Echo
	if json.Unmarshal(head, &echo) == nil {
		c.Run = echo.Run
		if json.Unmarshal(echo.Nested, &nested) == nil {
			c.Nested = nested.Service + " at " + nested.Addr
		}
	}
	return nil
}
