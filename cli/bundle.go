package cli

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/store/kvhttp"
)

// Exit codes of the bundle commands.
const (
	ExitBundle  = 4
	ExitKey     = 5
	ExitVersion = 6
	ExitStore   = 7
)

const (
	// operatorRate, in calls per second, and operatorBurst, in calls, limit the store calls of one command. They
	// are higher than those of a node, because the roll-out of a first version writes all of its parts.
	operatorRate  = 200
	operatorBurst = 50
	// defaultStoreTimeout bounds the whole use of the store by one command.
	defaultStoreTimeout = 30 * time.Second
)

func newBundle() *cobra.Command {
	cmd := newGroup("bundle", "Prepare, approve and roll out bundles",
		`  magnoliawharf bundle keygen operator.key
  magnoliawharf bundle prepare services.toml --store http://127.0.0.1:2379 --out next.bundle
  magnoliawharf bundle approve next.bundle --key operator.key
  magnoliawharf bundle roll next.bundle --store http://127.0.0.1:2379 --trust operator.key.pub
  magnoliawharf bundle status --store http://127.0.0.1:2379`,
		newBundleKeygen(), newBundlePrepare(), newBundleApprove(), newBundleRoll(), newBundleStatus(), newBundleShow())
	cmd.Long = `Prepare, approve and roll out bundles. A bundle is one signed version of the contracts of all services.

Exit codes, besides those of every command:
  4  the source or the bundle file was refused
  5  a key is missing, expired, not trusted, or its file was refused
  6  the version is not the next one, or another operator has rolled it out
  7  the store could not be reached, or the outcome of a write is not known`
	return cmd
}

// bundleErrors maps error types to the exit code and the advice that follows the message.
var bundleErrors = []struct {
	kind   *errorx.Type
	code   int
	advice string
}{
	{bundle.ErrVersionTaken, ExitVersion, "see `bundle status` and prepare the change again on top of that version"},
	{bundle.ErrVersionSkipped, ExitVersion, "prepare with --store, which takes the next version"},
	{bundle.ErrNoRelease, ExitVersion, "prepare version 1 and roll it out"},
	{bundle.ErrNoKey, ExitKey, "name a key file, or create one with `bundle keygen`"},
	{bundle.ErrKeyFile, ExitKey, "check the file and its mode"},
	{bundle.ErrKeyExpired, ExitKey, "create a new key with `bundle keygen` and add its public key to trusted_keys of the nodes"},
	{bundle.ErrUntrustedKey, ExitKey, "approve it with a key that the nodes trust"},
	{bundle.ErrBadSignature, ExitKey, "approve it again"},
	{bundle.ErrUnsigned, ExitKey, "sign it with `bundle approve`"},
	{store.ErrUncertain, ExitStore, "run the same command again: it determines whether the write took effect and repeats nothing that did"},
	{store.ErrConflict, ExitStore, "run the command again: another operator changed the same entry in the meantime"},
	{store.ErrUnavailable, ExitStore, "check --store and run the command again; nothing has been rolled out"},
}

// bundleError adds the exit code and advice to an error of a bundle command.
func bundleError(err error) error {
	var withCode *exitError
	if err == nil || errors.As(err, &withCode) {
		return err
	}
	for _, known := range bundleErrors {
		if errorx.IsOfType(err, known.kind) {
			return &exitError{fmt.Errorf("%w; %s", err, known.advice), known.code}
		}
	}
	if place, ok := bundle.LocationOf(err); ok {
		return &exitError{fmt.Errorf("%w; correct %s and prepare again", err, place.File), ExitBundle}
	}
	var typed *errorx.Error
	if errors.As(err, &typed) {
		return &exitError{err, ExitBundle}
	}
	return err
}

// storeFlags are the flags of commands that use the store.
type storeFlags struct {
	url     string
	timeout time.Duration
}

func (f *storeFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.url, "store", "", "base URL of the store, such as http://127.0.0.1:2379")
	cmd.Flags().DurationVar(&f.timeout, "timeout", defaultStoreTimeout, "timeout for all work with the store")
	_ = cmd.RegisterFlagCompletionFunc("store", cobra.NoFileCompletions)
	_ = cmd.RegisterFlagCompletionFunc("timeout", cobra.NoFileCompletions)
}

// open returns a client for the store and a context that ends after the timeout.
func (f *storeFlags) open(ctx context.Context) (*store.Client, context.Context, context.CancelFunc, error) {
	parsed, err := url.Parse(f.url)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return nil, nil, nil, usageError(fmt.Errorf("--store %q is not a URL such as http://127.0.0.1:2379", f.url))
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	adapter := kvhttp.NewClient(strings.TrimSuffix(f.url, "/")+"/", 0)
	return store.NewClient(adapter, operatorRate, operatorBurst), ctx, cancel, nil
}

// readBundle reads the file of a prepared or approved bundle.
func readBundle(path string) (*bundle.Prepared, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &exitError{fmt.Errorf("%w; create it with `bundle prepare`", err), ExitBundle}
	}
	prepared, err := bundle.DecodePrepared(raw)
	if err != nil {
		return nil, &exitError{fmt.Errorf("%s: %w", path, err), ExitBundle}
	}
	return prepared, nil
}

func writeBundle(path string, prepared *bundle.Prepared) error {
	raw, err := prepared.Encode()
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o644)
}

// bundleReport is the output of the commands that concern one version.
type bundleReport struct {
	Version  uint64          `json:"version"`
	Root     bundle.Hash     `json:"root"`
	Key      string          `json:"key,omitempty"`
	Services int             `json:"services"`
	Changes  []changeSummary `json:"changes"`
	Warning  string          `json:"warning,omitempty"`
}

// changeSummary is one changed or removed service.
type changeSummary struct {
	Service string `json:"service"`
	Removed bool   `json:"removed,omitempty"`
}

func newBundleReport(r *bundle.Release, services int, changes []bundle.Change) bundleReport {
	out := bundleReport{Version: r.Version, Root: r.Root, Key: r.KeyID, Services: services, Changes: []changeSummary{}}
	for _, change := range changes {
		out.Changes = append(out.Changes, changeSummary{change.Service, change.Part == bundle.Hash{}})
	}
	return out
}

// text returns the report as text that begins with action, such as "prepared".
func (r bundleReport) text(action string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s version %d, %d services, root %s", action, r.Version, r.Services, r.Root)
	if r.Key != "" {
		fmt.Fprintf(&out, ", key %s", r.Key)
	}
	out.WriteString("\n")
	for _, change := range r.Changes {
		kind := "changed"
		if change.Removed {
			kind = "removed"
		}
		fmt.Fprintf(&out, "  %s %s\n", kind, change.Service)
	}
	if r.Warning != "" {
		fmt.Fprintf(&out, "warning: %s\n", r.Warning)
	}
	return out.String()
}
