package bundle

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("bundle")

// Types of errors in the source of a bundle or in a contract. They carry a Place.
var (
	ErrSyntax           = namespace.NewType("syntax")            // not TOML, or a part that is not JSON
	ErrUnknownKey       = namespace.NewType("unknown_key")       // a key that no contract has
	ErrWrongType        = namespace.NewType("wrong_type")        // a value of another type
	ErrDuplicateService = namespace.NewType("duplicate_service") // a service with two tables
	ErrDuplicateName    = namespace.NewType("duplicate_name")    // a class, route or host named twice
	ErrUndefinedClass   = namespace.NewType("undefined_class")   // a route whose class does not exist
	ErrContradiction    = namespace.NewType("contradiction")     // rules that exclude each other
	ErrOutOfRange       = namespace.NewType("out_of_range")      // a value beyond its limits
	ErrMissing          = namespace.NewType("missing")           // a required key or table that is absent
)

// Types of errors of keys.
var (
	ErrNoKey      = namespace.NewType("no_key")      // no key at the path, or no trusted key given
	ErrKeyFile    = namespace.NewType("key_file")    // a key file that is malformed or open to others
	ErrKeyExpired = namespace.NewType("key_expired") // a key past its expiry
)

// Types of errors of releases and of what they refer to.
var (
	ErrMalformed    = namespace.NewType("malformed")     // cannot be decoded
	ErrTooLarge     = namespace.NewType("too_large")     // beyond a size limit
	ErrUnsigned     = namespace.NewType("unsigned")      // no signature
	ErrUntrustedKey = namespace.NewType("untrusted_key") // signed by a key that is not trusted
	ErrBadSignature = namespace.NewType("bad_signature") // the signature does not match
	ErrOlder        = namespace.NewType("older")         // a version below the one in force
	ErrEquivocation = namespace.NewType("equivocation")  // the version in force with other contents
	ErrRootMismatch = namespace.NewType("root_mismatch") // contents that do not have the signed root
	ErrMissingPart  = namespace.NewType("missing_part")  // a part that nobody has given
)

// Types of errors of a roll.
var (
	ErrVersionTaken   = namespace.NewType("version_taken")   // another roll has won this version
	ErrVersionSkipped = namespace.NewType("version_skipped") // the version is not the next one
	ErrNoRelease      = namespace.NewType("no_release")      // nothing has been rolled out yet
)

var (
	propertyPlace   = errorx.RegisterProperty("place")
	propertyVersion = errorx.RegisterPrintableProperty("version")
)

// Is reports whether err is of the type.
func Is(err error, kind *errorx.Type) bool { return errorx.IsOfType(err, kind) }

// Place is where an error lies in a source.
type Place struct {
	File  string
	Line  int    // 0 when not known
	Table string // such as "service.catalogue.route[1]"
	Key   string
}

// String returns the place as file:line: table: key, without what is not known.
func (p Place) String() string {
	var parts []string
	switch {
	case p.File != "" && p.Line > 0:
		parts = append(parts, fmt.Sprintf("%s:%d", p.File, p.Line))
	case p.File != "":
		parts = append(parts, p.File)
	}
	for _, part := range []string{p.Table, p.Key} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

// PlaceOf returns the place of an error in a source or contract.
func PlaceOf(err error) (Place, bool) {
	value, ok := errorx.ExtractProperty(err, propertyPlace)
	if !ok {
		return Place{}, false
	}
	place, ok := value.(Place)
	return place, ok
}

// VersionOf returns the version that won, from an ErrVersionTaken or ErrVersionSkipped.
func VersionOf(err error) (uint64, bool) {
	value, ok := errorx.ExtractProperty(err, propertyVersion)
	if !ok {
		return 0, false
	}
	version, ok := value.(uint64)
	return version, ok
}

// problem is an error in a contract before its place in a file is known.
type problem struct {
	kind   *errorx.Type
	place  Place
	detail string
}

func (p *problem) err() error {
	if p == nil {
		return nil
	}
	return p.kind.New("%s: %s", p.place, p.detail).WithProperty(propertyPlace, p.place)
}
