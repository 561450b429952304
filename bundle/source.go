package bundle

import (
	"bytes"
	"cmp"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// MaxSourceBytes limits the bytes of the source of a bundle.
const MaxSourceBytes = 4 << 20

// Defaults of a contract. See docs/design.md, sections 4, 6 and 7.
const (
	defaultProbePerSecond = 1.0
	defaultReportMaxAge   = time.Second
	defaultColdStart      = 10 * time.Second
	defaultAging          = time.Second
	defaultKeyLifetime    = 10 * time.Minute
	defaultClockMargin    = 2 * time.Second
	defaultStoreOutage    = 75 * time.Minute
	defaultRetryRatio     = 0.1
	defaultLongShare      = 0.5
	defaultMaxQueue       = 64
	defaultMaxWait        = time.Second
	defaultTimeout        = 5 * time.Second
)

type sourceFile struct {
	Service map[string]sourceService `toml:"service"`
}

type sourceService struct {
	Hosts          []string        `toml:"hosts"`
	ProbePerSecond *float64        `toml:"probe_per_second"`
	ReportMaxAge   *sourceDuration `toml:"report_max_age"`
	ColdStart      *sourceDuration `toml:"cold_start"`
	Aging          *sourceDuration `toml:"aging"`
	KeyLifetime    *sourceDuration `toml:"key_lifetime"`
	ClockMargin    *sourceDuration `toml:"clock_margin"`
	StoreOutage    *sourceDuration `toml:"store_outage"`
	RetryRatio     *float64        `toml:"retry_ratio"`
	LongShare      *float64        `toml:"long_share"`
	Class          []sourceClass   `toml:"class"`
	Route          []sourceRoute   `toml:"route"`
}

type sourceClass struct {
	Name     string          `toml:"name"`
	Priority int             `toml:"priority"`
	Long     bool            `toml:"long"`
	MayWait  bool            `toml:"may_wait"`
	MaxQueue *int            `toml:"max_queue"`
	MaxWait  *sourceDuration `toml:"max_wait"`
}

type sourceRoute struct {
	Name       string          `toml:"name"`
	Method     string          `toml:"method"`
	PathPrefix *string         `toml:"path_prefix"`
	Class      string          `toml:"class"`
	Rule       Rule            `toml:"rule"`
	Timeout    *sourceDuration `toml:"timeout"`
	Hedge      bool            `toml:"hedge"`
}

// sourceDuration is a duration such as "250ms". It is decoded as a string, so that a bare number is rejected with its
// position instead of being read as nanoseconds.
type sourceDuration string

// Parse decodes and validates a TOML source and returns its contracts sorted by service. file is the name of the source
// in errors; LocationOf returns the position of an error.
func Parse(file string, source []byte) ([]*Contract, error) {
	contracts, problem := parse(source)
	if problem == nil {
		return contracts, nil
	}
	problem.location.File = file
	if problem.location.Line == 0 {
		problem.location.Line = indexLines(source).line(problem.location)
	}
	return nil, problem.err()
}

func parse(source []byte) ([]*Contract, *problem) {
	if len(source) > MaxSourceBytes {
		return nil, &problem{ErrTooLarge, Location{}, "the source is larger than 4 MiB"}
	}
	var decoded sourceFile
	decoder := toml.NewDecoder(bytes.NewReader(source))
	if err := decoder.DisallowUnknownFields().Decode(&decoded); err != nil {
		return nil, decodeProblem(source, err)
	}
	contracts := make([]*Contract, 0, len(decoded.Service))
	for name, service := range decoded.Service {
		c, problem := service.contract(name)
		if problem != nil {
			return nil, problem
		}
		contracts = append(contracts, c)
	}
	slices.SortFunc(contracts, func(a, b *Contract) int { return cmp.Compare(a.Service, b.Service) })
	for _, c := range contracts {
		if problem := c.check(); problem != nil {
			return nil, problem
		}
	}
	return contracts, checkSet(contracts)
}

// decodeProblem converts an error of the TOML decoder to a problem with a type and a position.
func decodeProblem(source []byte, err error) *problem {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := &strict.Errors[0]
		return &problem{ErrUnknownKey, decodeErrorLocation(source, first), "unknown key"}
	}
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return &problem{ErrSyntax, Location{}, err.Error()}
	}
	p := &problem{ErrWrongType, decodeErrorLocation(source, decode), strings.TrimPrefix(decode.Error(), "toml: ")}
	key := decode.Key()
	switch {
	case strings.Contains(p.detail, "already") && len(key) == 2 && key[0] == "service":
		p.kind, p.detail = ErrDuplicateService, "the service is defined twice"
	case strings.Contains(p.detail, "already"):
		p.kind = ErrDuplicateName
	case hasSyntaxError(source):
		p.kind = ErrSyntax
	}
	return p
}

// decodeErrorLocation returns the position of an error of the TOML decoder.
func decodeErrorLocation(source []byte, err *toml.DecodeError) Location {
	line, _ := err.Position()
	table, tableStart := indexLines(source).tableAt(line)
	location := Location{Line: line, Table: table}
	if key := err.Key(); tableStart != line && len(key) > 0 {
		location.Key = key[len(key)-1]
	}
	return location
}

func (s *sourceService) contract(name string) (*Contract, *problem) {
	v := validator{table: ServiceTable(name)}
	c := &Contract{
		Service:        name,
		Hosts:          s.Hosts,
		ProbePerSecond: valueOr(s.ProbePerSecond, defaultProbePerSecond),
		ReportMaxAge:   v.parseDuration("report_max_age", s.ReportMaxAge, defaultReportMaxAge),
		ColdStart:      v.parseDuration("cold_start", s.ColdStart, defaultColdStart),
		Aging:          v.parseDuration("aging", s.Aging, defaultAging),
		KeyLifetime:    v.parseDuration("key_lifetime", s.KeyLifetime, defaultKeyLifetime),
		ClockMargin:    v.parseDuration("clock_margin", s.ClockMargin, defaultClockMargin),
		StoreOutage:    v.parseDuration("store_outage", s.StoreOutage, defaultStoreOutage),
		RetryRatio:     valueOr(s.RetryRatio, defaultRetryRatio),
		LongShare:      valueOr(s.LongShare, defaultLongShare),
	}
	for i, class := range s.Class {
		v.table = classTable(name, i)
		c.Classes = append(c.Classes, Class{
			Name: class.Name, Priority: class.Priority, Long: class.Long, MayWait: class.MayWait,
			MaxQueue: valueOr(class.MaxQueue, defaultMaxQueue), MaxWait: v.parseDuration("max_wait", class.MaxWait, defaultMaxWait),
		})
	}
	for i, r := range s.Route {
		v.table = routeTable(name, i)
		c.Routes = append(c.Routes, Route{
			Name: r.Name, Method: r.Method, PathPrefix: valueOr(r.PathPrefix, "/"), Class: r.Class,
			Rule:    cmp.Or(r.Rule, defaultRule(r.Method)),
			Timeout: v.parseDuration("timeout", r.Timeout, defaultTimeout), Hedge: r.Hedge,
		})
	}
	return c, v.first
}

func (v *validator) parseDuration(key string, value *sourceDuration, fallback time.Duration) time.Duration {
	if value == nil {
		return fallback
	}
	parsed, err := time.ParseDuration(string(*value))
	if err != nil {
		v.add(ErrWrongType, key, "%q is not a duration such as 250ms or 1m30s", *value)
	}
	return parsed
}

// defaultRule treats only the methods that HTTP defines as safe as idempotent.
func defaultRule(method string) Rule {
	switch method {
	case "GET", "HEAD", "OPTIONS":
		return Idempotent
	}
	return NotIdempotent
}

func valueOr[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}
