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

// MaxSource bounds the source of a bundle.
const MaxSource = 4 << 20

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
	Hosts          []string      `toml:"hosts"`
	ProbePerSecond *float64      `toml:"probe_per_second"`
	ReportMaxAge   *sourceTime   `toml:"report_max_age"`
	ColdStart      *sourceTime   `toml:"cold_start"`
	Aging          *sourceTime   `toml:"aging"`
	KeyLifetime    *sourceTime   `toml:"key_lifetime"`
	ClockMargin    *sourceTime   `toml:"clock_margin"`
	StoreOutage    *sourceTime   `toml:"store_outage"`
	RetryRatio     *float64      `toml:"retry_ratio"`
	LongShare      *float64      `toml:"long_share"`
	Class          []sourceClass `toml:"class"`
	Route          []sourceRoute `toml:"route"`
}

type sourceClass struct {
	Name     string      `toml:"name"`
	Priority int         `toml:"priority"`
	Long     bool        `toml:"long"`
	MayWait  bool        `toml:"may_wait"`
	MaxQueue *int        `toml:"max_queue"`
	MaxWait  *sourceTime `toml:"max_wait"`
}

type sourceRoute struct {
	Name       string      `toml:"name"`
	Method     string      `toml:"method"`
	PathPrefix *string     `toml:"path_prefix"`
	Class      string      `toml:"class"`
	Rule       Rule        `toml:"rule"`
	Timeout    *sourceTime `toml:"timeout"`
	Hedge      bool        `toml:"hedge"`
}

// sourceTime is a duration such as "250ms". It is read as a string, so that a bare number is refused
// with its place and not taken for nanoseconds.
type sourceTime string

// Parse returns the contracts of a source, ordered by service and valid. file names the source in
// errors, which carry a Place.
func Parse(file string, source []byte) ([]*Contract, error) {
	contracts, problem := parse(source)
	if problem == nil {
		return contracts, nil
	}
	problem.place.File = file
	if problem.place.Line == 0 {
		problem.place.Line = locate(source).line(problem.place)
	}
	return nil, problem.err()
}

func parse(source []byte) ([]*Contract, *problem) {
	if len(source) > MaxSource {
		return nil, &problem{ErrTooLarge, Place{}, "the source is larger than 4 MiB"}
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
	return contracts, checkAll(contracts)
}

// decodeProblem types an error of the TOML decoder.
func decodeProblem(source []byte, err error) *problem {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := &strict.Errors[0]
		return &problem{ErrUnknownKey, placeOf(source, first), "no such key in a bundle"}
	}
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return &problem{ErrSyntax, Place{}, err.Error()}
	}
	p := &problem{ErrWrongType, placeOf(source, decode), strings.TrimPrefix(decode.Error(), "toml: ")}
	key := decode.Key()
	switch {
	case strings.Contains(p.detail, "already") && len(key) == 2 && key[0] == "service":
		p.kind, p.detail = ErrDuplicateService, "the service is defined twice"
	case strings.Contains(p.detail, "already"):
		p.kind = ErrDuplicateName
	case syntaxError(source):
		p.kind = ErrSyntax
	}
	return p
}

// placeOf returns the place of a decoder's error.
func placeOf(source []byte, err *toml.DecodeError) Place {
	line, _ := err.Position()
	table, at := locate(source).tableAt(line)
	place := Place{Line: line, Table: table}
	if key := err.Key(); at != line && len(key) > 0 {
		place.Key = key[len(key)-1]
	}
	return place
}

func (s *sourceService) contract(name string) (*Contract, *problem) {
	v := validator{table: ServiceTable(name)}
	c := &Contract{
		Service:        name,
		Hosts:          s.Hosts,
		ProbePerSecond: or(s.ProbePerSecond, defaultProbePerSecond),
		ReportMaxAge:   v.parseTime("report_max_age", s.ReportMaxAge, defaultReportMaxAge),
		ColdStart:      v.parseTime("cold_start", s.ColdStart, defaultColdStart),
		Aging:          v.parseTime("aging", s.Aging, defaultAging),
		KeyLifetime:    v.parseTime("key_lifetime", s.KeyLifetime, defaultKeyLifetime),
		ClockMargin:    v.parseTime("clock_margin", s.ClockMargin, defaultClockMargin),
		StoreOutage:    v.parseTime("store_outage", s.StoreOutage, defaultStoreOutage),
		RetryRatio:     or(s.RetryRatio, defaultRetryRatio),
		LongShare:      or(s.LongShare, defaultLongShare),
	}
	for i, class := range s.Class {
		v.table = classTable(name, i)
		c.Classes = append(c.Classes, Class{
			Name: class.Name, Priority: class.Priority, Long: class.Long, MayWait: class.MayWait,
			MaxQueue: or(class.MaxQueue, defaultMaxQueue), MaxWait: v.parseTime("max_wait", class.MaxWait, defaultMaxWait),
		})
	}
	for i, r := range s.Route {
		v.table = routeTable(name, i)
		c.Routes = append(c.Routes, Route{
			Name: r.Name, Method: r.Method, PathPrefix: or(r.PathPrefix, "/"), Class: r.Class,
			Rule:    cmp.Or(r.Rule, defaultRule(r.Method)),
			Timeout: v.parseTime("timeout", r.Timeout, defaultTimeout), Hedge: r.Hedge,
		})
	}
	return c, v.first
}

func (v *validator) parseTime(key string, value *sourceTime, otherwise time.Duration) time.Duration {
	if value == nil {
		return otherwise
	}
	parsed, err := time.ParseDuration(string(*value))
	if err != nil {
		v.add(ErrWrongType, key, "%q is not a duration such as 250ms or 1m30s", *value)
	}
	return parsed
}

// defaultRule takes only methods that HTTP defines as safe for idempotent.
func defaultRule(method string) Rule {
	switch method {
	case "GET", "HEAD", "OPTIONS":
		return Idempotent
	}
	return NotIdempotent
}

func or[T any](value *T, otherwise T) T {
	if value == nil {
		return otherwise
	}
	return *value
}
