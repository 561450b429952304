package sidecar_test

import (
	"context"
	"fmt"
	"regexp"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/sidecar"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// gauge returns the value of a gauge of the node, "" when it has none.
func (m *machine) gauge(t *testing.T, name string) string {
	t.Helper()
	found := regexp.MustCompile(`(?m)^` + name + ` (\S+)$`).FindStringSubmatch(m.metrics(t))
	if found == nil {
		return ""
	}
	return found[1]
}

// eventuallyMembers waits until the node knows and reaches so many members.
func (m *machine) eventuallyMembers(t *testing.T, known, reachable int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d members, %d reachable", known, reachable), 10*time.Second, func() bool {
		return m.gauge(t, "magnoliawharf_quota_members_known") == fmt.Sprint(known) && m.gauge(t, "magnoliawharf_quota_members_reachable") == fmt.Sprint(reachable)
	})
}

// Guards against nodes that don't find out who allocates, against tokens that don't pass between nodes, and against a node that still
// counts after a planned stop or doesn't count after its next start.
func TestQuotaAmongNodes(t *testing.T) {
	s := kvstore.NewMemory()
	publish(t, s, document{Version: 1, Service: "s", TenantPerSecond: 20})
	machines := []*machine{startMachine(t, "n1", s), startMachine(t, "n2", s), startMachine(t, "n3", s)}
	for _, m := range machines {
		m.eventuallyMembers(t, 3, 3)
	}
	for _, m := range machines {
		eventually(t, "tokens at each node", 10*time.Second, func() bool {
			granted, _ := acquireAtEach(t, []*machine{m}, 1)
			return granted == 1
		})
	}
	granted, refused := acquireAtEach(t, machines, 100)
	assert.Assert(t, granted >= 1 && granted <= 60, "%d granted, %d refused", granted, refused)
	assert.Assert(t, refused > 0)

	machines[2].cancel()
	machines[0].eventuallyMembers(t, 2, 2)
	machines[1].eventuallyMembers(t, 2, 2)
	assert.NilError(t, <-machines[2].ended)
	replacement := startMachine(t, "n4", s)
	for _, m := range []*machine{machines[0], machines[1], replacement} {
		m.eventuallyMembers(t, 3, 3)
	}

	publish(t, s, document{Version: 2, Service: "s"})
	eventually(t, "the tenant without a quota has no state", 5*time.Second, func() bool {
		return machines[0].gauge(t, "magnoliawharf_quota_tenants") == ""
	})
}

// acquireAtEach asks for count tokens of the tenant at each node, at the same time, and counts the outcomes.
func acquireAtEach(t *testing.T, machines []*machine, count int) (granted, refused int) {
	t.Helper()
	var mu sync.Mutex
	var callers sync.WaitGroup
	for _, m := range machines {
		for range count {
			callers.Go(func() {
				_, refusal := sidecar.AcquireToken(context.Background(), m.Sidecar, "acme")
				mu.Lock()
				defer mu.Unlock()
				if refusal != nil {
					refused++
					return
				}
				granted++
			})
		}
	}
	callers.Wait()
	return granted, refused
}
