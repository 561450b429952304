package caller_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// Guards against a limit that is not a number and counts as none, or as one without end, and against an upstream that is taken to leave
// although it doesn't say so.
func TestNoticesOfOddAnswers(t *testing.T) {
	named := func(rate float64) caller.Notice {
		return caller.Notice{Limit: caller.RateLimit{Named: true, PerSecond: rate}}
	}
	dialect := caller.Dialect{RateLimit: "X-Limit", Leaving: "X-Leaving"}
	for name, test := range map[string]struct {
		header map[string][]string
		want   caller.Notice
	}{
		"none":                  {nil, caller.Notice{}},
		"a decimal":             {map[string][]string{"X-Limit": {"10.4"}}, named(10.4)},
		"zero":                  {map[string][]string{"X-Limit": {"0"}}, named(0)},
		"below one":             {map[string][]string{"X-Limit": {" 0.2 "}}, named(0.2)},
		"huge":                  {map[string][]string{"X-Limit": {"1e300"}}, named(caller.MaxRate)},
		"beyond a float":        {map[string][]string{"X-Limit": {"1e999"}}, caller.Notice{Unreadable: "1e999"}},
		"negative":              {map[string][]string{"X-Limit": {"-3"}}, caller.Notice{Unreadable: "-3"}},
		"not a number":          {map[string][]string{"X-Limit": {"NaN"}}, caller.Notice{Unreadable: "NaN"}},
		"infinite":              {map[string][]string{"X-Limit": {"+Inf"}}, caller.Notice{Unreadable: "+Inf"}},
		"text":                  {map[string][]string{"X-Limit": {"many"}}, caller.Notice{Unreadable: "many"}},
		"empty":                 {map[string][]string{"X-Limit": {""}}, caller.Notice{Unreadable: "(empty)"}},
		"long text":             {map[string][]string{"X-Limit": {strings.Repeat("x", 5000)}}, caller.Notice{Unreadable: strings.Repeat("x", 64)}},
		"two fields":            {map[string][]string{"X-Limit": {"7", "5"}}, named(5)},
		"a list":                {map[string][]string{"X-Limit": {"5, 7"}}, named(5)},
		"one of two unreadable": {map[string][]string{"X-Limit": {"many", "7"}}, named(7)},
		"leaving":               {map[string][]string{"X-Leaving": {"1"}}, caller.Notice{Leaving: true}},
		"not leaving":           {map[string][]string{"X-Leaving": {"0"}}, caller.Notice{}},
		"leaving left empty":    {map[string][]string{"X-Leaving": {""}}, caller.Notice{}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, dialect.NoticeOf(test.header), test.want)
		})
	}
	assert.Equal(t, (&caller.Dialect{}).NoticeOf(map[string][]string{"": {"5"}}), caller.Notice{}, "a dialect without these fields")
	for _, odd := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -0.1} {
		_, ok := caller.LimitOf(odd)
		assert.Assert(t, !ok, "%v", odd)
	}
}

// Guards against a cold time that is no time and counts, and against one of several that is overlooked.
func TestColdTimesOfOddHealthReports(t *testing.T) {
	dialect := caller.Dialect{Cold: "X-Cold"}
	cold := func(remaining time.Duration) caller.ColdTime {
		return caller.ColdTime{Stated: true, Remaining: remaining}
	}
	unreadable := func(text string) caller.ColdTime { return caller.ColdTime{Unreadable: text} }
	for name, test := range map[string]struct {
		values []string
		want   caller.ColdTime
	}{
		"none": {nil, caller.ColdTime{}}, "warm": {[]string{"0"}, cold(0)}, "cold": {[]string{" 1500 "}, cold(1500 * time.Millisecond)},
		"a fraction": {[]string{"0.5"}, cold(500 * time.Microsecond)}, "the longest": {[]string{"7", "9"}, cold(9 * time.Millisecond)},
		"negative": {[]string{"-1"}, unreadable("-1")}, "not a number": {[]string{"NaN"}, unreadable("NaN")}, "endless": {[]string{"+Inf"}, unreadable("+Inf")},
		"more than a day": {[]string{"86400001"}, unreadable("86400001")}, "a day": {[]string{"86400000"}, cold(24 * time.Hour)},
		"text": {[]string{"soon"}, unreadable("soon")}, "empty": {[]string{""}, unreadable("(empty)")}, "long text": {[]string{strings.Repeat("x", 5000)}, unreadable(strings.Repeat("x", 64))},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, dialect.ColdTimeOf(map[string][]string{"X-Cold": test.values}), test.want)
		})
	}
	assert.Equal(t, (&caller.Dialect{}).ColdTimeOf(map[string][]string{"": {"5"}}), caller.ColdTime{}, "a dialect without the field")
}
