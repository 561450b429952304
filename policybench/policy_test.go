package policybench

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var (
	full      = flag.Bool("policy.full", false, "measure all policies and scenarios and print the tables")
	seeds     = flag.Int("policy.seeds", 3, "number of seeds for -policy.full")
	firstSeed = flag.Uint64("policy.first", 1, "first seed for -policy.full")
	scenarios = flag.String("policy.scenarios", ".", "scenarios for -policy.full")
	policies  = flag.String("policy.policies", ".", "policies for -policy.full")
	workers   = flag.Int("policy.workers", 4, "concurrent runs for -policy.full")
)

func measure(t *testing.T, d Deployment, s Scenario, p Policy, seed uint64) (result Result) {
	synctest.Test(t, func(*testing.T) { result = Run(d, s, p, seed) })
	return result
}

// TestPolicies prints the tables of docs/measurements-policy.md.
func TestPolicies(t *testing.T) {
	if !*full {
		t.Skip("measurement, run with -policy.full")
	}
	slots := make(chan struct{}, *workers)
	for _, d := range []Deployment{Ibikoresho, Schoonpot} {
		for _, s := range Scenarios {
			if !regexp.MustCompile(*scenarios).MatchString(s.Name) {
				continue
			}
			var rows []Row
			for _, p := range Policies {
				if regexp.MustCompile(*policies).MatchString(p.Name) {
					rows = append(rows, Row{Policy: p.Name})
				}
			}
			var group sync.WaitGroup
			for i := range rows {
				group.Go(func() {
					for _, p := range Policies {
						for seed := 0; p.Name == rows[i].Policy && seed < *seeds; seed++ {
							slots <- struct{}{}
							rows[i].Result.Merge(measure(t, d, s, p, *firstSeed+uint64(seed)))
							<-slots
						}
					}
				})
			}
			group.Wait()
			fmt.Printf("\n### %s: %s\n\n", d.Name, s.Name)
			assert.NilError(t, WriteTable(os.Stdout, rows))
		}
	}
}

func project() Policy { return Policies[len(Policies)-1] }

// Guards against short requests that wait behind downloads: their 99th percentile stays within 1.3 times
// the one without downloads.
func TestShortWorkUnderDownloads(t *testing.T) {
	for _, d := range []Deployment{Ibikoresho, Schoonpot} {
		without := Scenario{Length: 10 * time.Second, Load: 0.3}
		with := without
		with.Downloads = 0.6
		base, loaded := measure(t, d, without, project(), 1), measure(t, d, with, project(), 1)
		ratio := float64(loaded.Short.Quantile(0.99)) / float64(base.Short.Quantile(0.99))
		t.Logf("%s: 99th percentile under downloads %.2f times the one without", d.Name, ratio)
		assert.Assert(t, ratio <= 1.3)
	}
}

// Guards against routing by reports alone: while one of four upstreams is slow, fails fast or sends misleading
// reports, no baseline serves more short requests, and where the fault delays responses, none has a lower 99th
// percentile of the served ones.
func TestFaultsAgainstBaselines(t *testing.T) {
	for _, fault := range []Fault{Slow, Failing, Misleading} {
		s := Scenario{Length: 5 * time.Second, Load: 0.5, Fault: fault, FaultFrom: time.Second, FaultTo: 4 * time.Second}
		got := measure(t, Ibikoresho, s, project(), 1)
		for _, p := range Policies[:len(Policies)-1] {
			base := measure(t, Ibikoresho, s, p, 1)
			assert.Assert(t, got.Short.Unserved() <= base.Short.Unserved(), "fault %d, %s: %.4f unserved, baseline %.4f",
				fault, p.Name, got.Short.Unserved(), base.Short.Unserved())
			if fault != Failing {
				p99, baseP99 := got.Short.Quantile(0.99), base.Short.Quantile(0.99)
				assert.Assert(t, p99 <= baseP99, "fault %d, %s: p99 %v, baseline %v", fault, p.Name, p99, baseP99)
			}
		}
	}
}
