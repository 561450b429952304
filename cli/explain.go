package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/spf13/cobra"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/explain"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

// Exit codes of the command "sidecar explain". An unknown key gives ExitKey.
const (
	ExitNode  = 8
	ExitRoute = 9
)

// explainTimeout bounds the whole exchange with the node.
const explainTimeout = 5 * time.Second

// explainFlags are the flags of the command.
type explainFlags struct {
	node    string
	keyFile string
	format  string
	explain.Question
}

func newSidecarExplain() *cobra.Command {
	var f explainFlags
	cmd := &cobra.Command{
		Use:   "explain",
		Short: "Explain where a node would send a request now, and why, without sending it",
		Long: `Explain where a node would send a request now, and why, without sending it. The node changes no state and asks other nodes for
their load at most. It is asked at the address of listen.operator in its settings.

The key of a tenant is read from a file or from standard input, never from the command line. Neither side prints it.

Exit codes, besides those of every command:
  5  the file with the key cannot be read, or the node refuses the request for its key
  8  the node did not answer, or not with a report
  9  no route matches the request`,
		Example: `  magnoliawharf sidecar explain --node 127.0.0.1:9465 --host shop.example --path /a/b
  magnoliawharf sidecar explain --node 127.0.0.1:9465 --host shop.example --path /a/b --key-file - < key`,
		Args: exactArgs(0),
	}
	format := addOutput(cmd)
	cmd.Flags().StringVar(&f.node, "node", "", "host:port of the node's operator listener (required)")
	cmd.Flags().StringVar(&f.Method, "method", http.MethodGet, "method of the request")
	cmd.Flags().StringVar(&f.Host, "host", "", "host of the request (required)")
	cmd.Flags().StringVar(&f.Path, "path", "", "path of the request, with its query (required)")
	cmd.Flags().StringVar(&f.keyFile, "key-file", "", "file with the key of a tenant, - for standard input")
	cmd.Flags().Int64Var(&f.Size, "size", 0, "length of the request's body in bytes")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		f.format = *format
		err := f.run(cmd)
		if err != nil && f.format == outputJSON {
			return &jsonError{err}
		}
		return err
	}
	return cmd
}

// run asks the node, prints its report and returns an error when the report says that there is no route, or that the key is refused.
func (f *explainFlags) run(cmd *cobra.Command) error {
	if f.format != outputText && f.format != outputJSON {
		return usageError(fmt.Errorf("--output %q is unknown; use text or json", f.format))
	}
	if _, _, err := net.SplitHostPort(f.node); err != nil {
		return usageError(fmt.Errorf("--node %q is not host:port", f.node))
	}
	if err := f.readKey(cmd.InOrStdin()); err != nil {
		return &exitError{err, ExitKey}
	}
	if err := f.Question.Validate(); err != nil {
		return usageError(err)
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), explainTimeout)
	defer cancel()
	report, err := askNode(ctx, f.node, f.Question)
	if err != nil {
		return &exitError{fmt.Errorf("node %s: %w; check --node and listen.operator in its settings", f.node, err), ExitNode}
	}
	var text strings.Builder
	if err := report.WriteText(&text); err != nil {
		return err
	}
	if err := printResult(cmd.OutOrStdout(), f.format, text.String(), report); err != nil {
		return err
	}
	return f.refused(report)
}

// refused returns the error for a request without a route or with a refused key, nil for any other.
func (f *explainFlags) refused(report *explain.Report) error {
	if report.Refusal == nil {
		return nil
	}
	switch caller.Reason(report.Refusal.Reason) {
	case caller.NoRoute:
		return &exitError{fmt.Errorf("no route matches host %s and path %s", f.Host, f.Path), ExitRoute}
	case caller.Unauthenticated:
		return &exitError{errors.New("the route needs the key of a tenant, and the request has none that is known"), ExitKey}
	}
	return nil
}

// readKey reads the key from the file, without the line break at its end. No error contains what was read.
func (f *explainFlags) readKey(stdin io.Reader) error {
	if f.keyFile == "" {
		return nil
	}
	source := stdin
	if f.keyFile != "-" {
		file, err := os.Open(f.keyFile)
		if err != nil {
			return err
		}
		defer file.Close()
		source = file
	}
	raw, err := io.ReadAll(io.LimitReader(source, explain.MaxKeyBytes+2))
	if err != nil {
		return fmt.Errorf("read the key: %w", err)
	}
	f.Key = explain.Key(strings.TrimRight(string(raw), "\r\n"))
	if f.Key == "" {
		return errors.New("the file with the key is empty")
	}
	return nil
}

// askNode sends the question to the node. Environment variables name no proxy for it, and redirects are not followed, since the question
// may hold a key.
func askNode(ctx context.Context, node string, q explain.Question) (*explain.Report, error) {
	request, err := sling.New().Post("http://" + node + explain.Path).BodyJSON(q).Request()
	if err != nil {
		return nil, errors.New("the question cannot be encoded")
	}
	client := transport.NewSingleUseClient()
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(io.LimitReader(response.Body, explain.MaxReportBytes))
	if response.StatusCode != http.StatusOK {
		var problem struct{ Error string }
		if decoder.Decode(&problem) != nil {
			problem.Error = "not an operator's listener"
		}
		return nil, fmt.Errorf("status %d: %s", response.StatusCode, problem.Error)
	}
	var report explain.Report
	if err := decoder.Decode(&report); err != nil {
		return nil, errors.New("the answer is not a report")
	}
	return &report, nil
}
