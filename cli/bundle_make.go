package cli

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/magnoliawharf/magnoliawharf/bundle"
)

func newBundleKeygen() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "keygen FILE",
		Short: "Create a signing key",
		Long: `Create an ed25519 key pair for signing bundles. The private key is written to FILE with mode 0600, the public key,
which nodes trust, to FILE.pub. Existing files are not overwritten. Commands and nodes refuse a key that has expired;
roll out a bundle signed by its successor before that.`,
		Example: "  magnoliawharf bundle keygen operator.key\n  magnoliawharf bundle keygen operator.key --expires 8760h",
		Args:    exactArgs(1),
	}
	format := addOutput(cmd)
	expires := cmd.Flags().Duration("expires", 0, "time after which the key expires; 0 means never")
	_ = cmd.RegisterFlagCompletionFunc("expires", cobra.NoFileCompletions)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		var notAfter time.Time
		if *expires < 0 {
			return usageError(fmt.Errorf("--expires %s is in the past", *expires))
		}
		if *expires > 0 {
			notAfter = time.Now().Add(*expires)
		}
		key, err := bundle.GenerateKey(notAfter)
		if err != nil {
			return bundleError(err)
		}
		if err := key.WriteFiles(args[0]); err != nil {
			return bundleError(err)
		}
		result := struct {
			Key     string     `json:"key"`
			File    string     `json:"file"`
			Public  string     `json:"public"`
			Expires *time.Time `json:"expires,omitempty"`
		}{Key: key.Public.ID, File: args[0], Public: args[0] + ".pub"}
		if !notAfter.IsZero() {
			result.Expires = &key.Public.NotAfter
		}
		text := fmt.Sprintf("created key %s: %s (keep private) and %s (for nodes)\n", result.Key, result.File, result.Public)
		return printResult(cmd.OutOrStdout(), *format, text, result)
	}
	return cmd
}

func newBundlePrepare() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "prepare SOURCE",
		Short: "Check a source and prepare the next version from it",
		Long: `Check a TOML source strictly and write it as a version that can be approved. With --store the version number is
one above the version in force, and the changes are shown; --version sets the number without a store.`,
		Example: `  magnoliawharf bundle prepare services.toml --store http://127.0.0.1:2379 --out next.bundle
  magnoliawharf bundle prepare services.toml --version 1 --out first.bundle`,
		Args: exactArgs(1),
		ValidArgsFunction: func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
			return []string{"toml"}, cobra.ShellCompDirectiveFilterFileExt
		},
	}
	format := addOutput(cmd)
	var flags storeFlags
	flags.add(cmd)
	version := cmd.Flags().Uint64("version", 0, "version number, when no store is given")
	out := cmd.Flags().String("out", "", "file to write")
	_ = cmd.RegisterFlagCompletionFunc("version", cobra.NoFileCompletions)
	_ = cmd.MarkFlagRequired("out")
	cmd.MarkFlagsMutuallyExclusive("version", "store")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if flags.url == "" && *version == 0 {
			return usageError(fmt.Errorf("give --store, or --version from 1; see `%s --help`", cmd.CommandPath()))
		}
		contracts, err := readSource(args[0])
		if err != nil {
			return bundleError(err)
		}
		next, base := *version, bundle.Manifest(nil)
		if flags.url != "" {
			if next, base, err = nextVersion(cmd, flags); err != nil {
				return bundleError(err)
			}
		}
		prepared, err := bundle.Prepare(contracts, next)
		if err != nil {
			return bundleError(err)
		}
		if err := writeBundle(*out, prepared); err != nil {
			return err
		}
		result := newBundleReport(prepared.Release(nil), len(contracts), base.Diff(prepared.Manifest))
		return printResult(cmd.OutOrStdout(), *format, result.text("prepared"), result)
	}
	return cmd
}

func readSource(path string) ([]*bundle.Contract, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, &exitError{err, ExitBundle}
	}
	return bundle.Parse(path, source)
}

// nextVersion returns the version after the current one, and the current manifest.
func nextVersion(cmd *cobra.Command, flags storeFlags) (uint64, bundle.Manifest, error) {
	client, ctx, cancel, err := flags.open(cmd.Context())
	if err != nil {
		return 0, nil, err
	}
	defer cancel()
	reader := bundle.StoreReader{Store: client}
	head, _, err := reader.Head(ctx)
	if bundle.Is(err, bundle.ErrNoRelease) {
		return 1, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	base, err := reader.Manifest(ctx, head)
	return head.Version + 1, base, err
}

func newBundleApprove() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "approve FILE",
		Short: "Sign a prepared bundle",
		Long: `Sign a prepared bundle with an ed25519 key, whose file must have mode 0600. The signature covers the version
and the root hash of the contents.`,
		Example: "  magnoliawharf bundle approve next.bundle --key operator.key",
		Args:    exactArgs(1),
	}
	format := addOutput(cmd)
	keyFile := cmd.Flags().String("key", "", "file of the private key")
	out := cmd.Flags().String("out", "", "file to write instead of FILE")
	_ = cmd.MarkFlagRequired("key")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		prepared, err := readBundle(args[0])
		if err != nil {
			return err
		}
		key, err := bundle.ReadSigningKey(*keyFile)
		if err != nil {
			return bundleError(err)
		}
		approved, err := bundle.Approve(prepared, key, time.Now())
		if err != nil {
			return bundleError(err)
		}
		if *out == "" {
			*out = args[0]
		}
		if err := writeBundle(*out, approved); err != nil {
			return err
		}
		result := newBundleReport(approved.Release(nil), len(approved.Parts), nil)
		return printResult(cmd.OutOrStdout(), *format, result.text("approved"), result)
	}
	return cmd
}
