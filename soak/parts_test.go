package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/platform/standin"
	"github.com/magnoliawharf/magnoliawharf/platform/wire"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

const (
	// partShare is the share of runs with each part. Each is drawn from its own random stream, whose draws give the regression seeds
	// none of the parts.
	partShare        = 0.5
	tenantsStream    = 1<<33 + 1902568
	coldStream       = 1<<34 + 874765
	evacuationStream = 1<<35 + 428233
	invalidStream    = 1<<36 + 1343270
	// maxPartFaults is the largest number of faults of one part in a run.
	maxPartFaults = 2

	// coldPerS is the cold rate of both services, and coldTime how long a back end is cold after its start: shorter than
	// recoveryTime, so that the load of recovery finds no cold back end.
	coldPerS = 14
	coldTime = 2 * time.Second
	// invalidShare is the share of requests that a faulty back end answers invalidly.
	invalidShare = 0.4
	// withdrawalDelay is the time from the beginning of a disturbance to the withdrawal of a key, and aroundWithdrawal the length of
	// the disturbance: beyond the bound.
	withdrawalDelay  = 300 * time.Millisecond
	aroundWithdrawal = revocationBound + 1500*time.Millisecond
	// evacuationTime is the time from the acknowledgement of an evacuation to its end, beyond evacuationBound.
	evacuationTime = evacuationBound + 2*time.Second
)

// quotas are the quotas, in requests a second, of the tenant that has one: below and above its usual demand.
var quotas = [...]float64{10, 20, 100}

// parts are the optional parts of a deployment.
type parts struct {
	tenants  int     // 0 for none
	quota    float64 // of one tenant
	coldPerS float64 // of both services, 0 for none
	coldTime time.Duration
	uploads  bool // callers send uploads
}

func (p parts) String() string {
	return fmt.Sprintf("tenants %d, quota %g, cold rate %g, uploads %v", p.tenants, p.quota, p.coldPerS, p.uploads)
}

// drawPart returns the rest of the stream when the run has the part, else nil.
func drawPart(seed, stream uint64) *rand.Rand {
	if random := rand.New(rand.NewPCG(seed, stream)); random.Float64() < partShare {
		return random
	}
	return nil
}

func drawParts(seed uint64) (p parts) {
	if drawPart(seed, coldStream) != nil {
		p.coldPerS, p.coldTime = coldPerS, coldTime
	}
	if random := drawPart(seed, tenantsStream); random != nil {
		p.tenants, p.quota = 2+random.IntN(2), quotas[random.IntN(len(quotas))]
	}
	p.uploads = drawPart(seed, uploadsStream) != nil
	return p
}

// drawPartFaults returns the faults of the parts that the run has.
func drawPartFaults(seed uint64, length time.Duration) []plannedFault {
	var schedule []plannedFault
	for _, part := range []struct {
		stream uint64
		fault  fault
	}{{tenantsStream, keyWithdrawn}, {coldStream, becomesCold}, {evacuationStream, evacuated}, {invalidStream, answersInvalidly}, {uploadsStream, answersEarly}} {
		random := drawPart(seed, part.stream)
		if random == nil {
			continue
		}
		for range 1 + random.IntN(maxPartFaults) {
			schedule = append(schedule, plannedFault{
				fault: part.fault, at: time.Duration(random.Int64N(int64(length))), machine: random.IntN(machineCount), series: 1,
				lasting: minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime))), draw: random.Uint64(),
			})
		}
	}
	return schedule
}

// keyWithdrawn is a key that a new version replaces by another one, while the node or the store may be disturbed beyond the bound.
var keyWithdrawn = fault{"key withdrawn", func(f *fleet, m *machine, lasting time.Duration, draw uint64) {
	disturb := []func(){
		func() {},
		func() { m.degradeLink("store", behaviour{refuse: true, holdFromServer: true}, aroundWithdrawal) },
		func() { m.degradeLink("store", behaviour{holdToServer: true, holdFromServer: true}, aroundWithdrawal) },
		func() { m.pauseNode(aroundWithdrawal) },
		func() { m.killNode(lasting) },
		func() {
			f.degradeStore(aroundWithdrawal, standin.StoreFaults{Status: http.StatusServiceUnavailable}, kvstore.Faults{})
		},
		func() { f.degradeStore(aroundWithdrawal, standin.StoreFaults{DropResponses: true}, kvstore.Faults{}) },
	}[draw%7]
	var disturbance sync.WaitGroup
	disturbance.Go(disturb)
	time.Sleep(withdrawalDelay)
	f.operator.replaceKey(int(draw / 7 % 3))
	disturbance.Wait()
}}

// becomesCold is a back end, or on every third draw those of a zone, that becomes cold while it runs.
var becomesCold = fault{"cold again", func(f *fleet, m *machine, lasting time.Duration, draw uint64) {
	var steps sync.WaitGroup
	for _, other := range f.machines {
		if other == m || draw%3 == 0 && zoneOf(other.index) == zoneOf(m.index) {
			steps.Go(func() { other.coolBackend(lasting) })
		}
	}
	steps.Wait()
	time.Sleep(lasting)
}}

// evacuated is an evacuation of the machine's zone. One that is evacuated already stays so.
var evacuated = fault{"zone evacuated", func(f *fleet, m *machine, lasting time.Duration, _ uint64) {
	zone := zoneOf(m.index)
	acked, ok := f.operator.evacuate(zone)
	if !ok {
		return
	}
	time.Sleep(evacuationTime + lasting)
	ended := time.Now()
	f.oracle.record(func() { f.oracle.evacuations = append(f.oracle.evacuations, namedSpan{zone, span{acked, ended}}) })
	f.operator.endEvacuation(zone)
}}

// answersInvalidly is a back end that answers some requests with what is not a valid answer.
var answersInvalidly = fault{"invalid answers", func(_ *fleet, m *machine, lasting time.Duration, _ uint64) {
	m.failBackend(standin.BackendFaults{Invalid: invalidShare}, lasting)
}}

func zoneOf(machine int) string { return fmt.Sprintf("z%d", machine%zoneCount) }

// coolBackend makes the back end cold for the duration.
func (m *machine) coolBackend(lasting time.Duration) {
	m.backendMu.Lock()
	defer m.backendMu.Unlock()
	from := time.Now()
	m.backend.SetCold(lasting)
	m.fleet.recordCold(m.backend.ID(), time.Now(), from.Add(lasting))
}

// evacuate asks for the evacuation of a zone. It returns the time of the acknowledgement, and false for one that is evacuated already.
func (o *operator) evacuate(zone string) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.zones[zone] || !o.putEvacuation(zone) {
		return time.Time{}, false
	}
	o.zones[zone] = true
	return time.Now(), true
}

func (o *operator) endEvacuation(zone string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.zones[zone] = false
	o.removeEvacuation(zone)
}

// rewriteEvacuations writes the evacuations again after a return of the store. One that has ended is written and removed, since the
// copy may lack a key that some nodes still know. The caller holds the lock.
func (o *operator) rewriteEvacuations() {
	for zone, inForce := range o.zones {
		for !o.putEvacuation(zone) {
			time.Sleep(rewritePause)
		}
		if !inForce {
			o.removeEvacuation(zone)
		}
	}
}

func (o *operator) putEvacuation(zone string) bool {
	ctx, memory := context.Background(), o.fleet.store.Memory
	current, _ := memory.Get(ctx, wire.EvacuationPrefix+zone) // without the key, revision 0
	_, err := memory.Swap(ctx, wire.EvacuationPrefix+zone, []byte("1"), current.Revision, 0)
	return err == nil
}

// removeEvacuation removes the key, however often that takes.
func (o *operator) removeEvacuation(zone string) {
	ctx, memory := context.Background(), o.fleet.store.Memory
	for {
		current, err := memory.Get(ctx, wire.EvacuationPrefix+zone)
		if err == nil && memory.Delete(ctx, wire.EvacuationPrefix+zone, current.Revision) == nil {
			return
		}
		time.Sleep(rewritePause)
	}
}
