package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"
)

// maxSharedAge is the age up to which a crash is passed on to other nodes. It is below crashRetention, so that nodes which learned
// of a crash at slightly different times do not keep it alive for each other.
const maxSharedAge = crashRetention - time.Minute

// Record is what a node knows of one fingerprint. Nodes send records to those that may have missed the notices: a node keeps
// nothing across a restart, and notices may get lost. Times are relative, since the clocks of nodes differ.
type Record struct {
	Fingerprint Fingerprint
	Crashes     []RecordedCrash
	Quarantined bool          // a quarantine has begun; it may have ended since
	Remaining   time.Duration // until the end of the quarantine, negative after it
}

// RecordedCrash is one crash of a Record.
type RecordedCrash struct {
	Crash   Crash
	Age     time.Duration
	Cleared bool
}

// Valid reports whether the record is within the limits.
func (r *Record) Valid() bool {
	isValid := func(c RecordedCrash) bool { return c.Age >= 0 && c.Age <= crashRetention }
	invalidCrash := slices.ContainsFunc(r.Crashes, func(c RecordedCrash) bool { return !isValid(c) })
	return len(r.Crashes) > 0 && len(r.Crashes) <= MaxNoticeCrashes && !invalidCrash && r.Remaining <= Period && r.Remaining >= -crashRetention
}

// Records returns the records of up to limit fingerprints, chosen at random, so that repeated calls return all.
func (l *List) Records(now time.Time, limit int) []Record {
	if l.count.Load() == 0 {
		return nil
	}
	var records []Record
	l.suspects.Range(func(f Fingerprint, s suspect) bool {
		if record := s.record(now, f); len(record.Crashes) > 0 {
			records = append(records, record)
		}
		return true
	})
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	return records[:min(limit, len(records))]
}

// record returns the record of the suspect, without the crashes that are too old to be passed on.
func (s *suspect) record(now time.Time, f Fingerprint) Record {
	record := Record{Fingerprint: f}
	for _, c := range s.crashes {
		if age := max(0, now.Sub(c.at)); age <= maxSharedAge {
			record.Crashes = append(record.Crashes, RecordedCrash{Crash: c.crash, Age: age, Cleared: c.cleared})
		}
	}
	if !s.until.IsZero() {
		record.Quarantined, record.Remaining = true, max(s.until.Sub(now), -crashRetention)
	}
	return record
}

// Merge adds the records of another node, and returns how many fingerprints are in quarantine here only since then.
func (l *List) Merge(now time.Time, records []Record) int {
	added := 0
	for _, record := range records {
		var until time.Time
		if record.Quarantined {
			until = now.Add(record.Remaining)
		}
		crashes := make([]crashRecord, 0, len(record.Crashes))
		for _, c := range record.Crashes {
			crashes = append(crashes, crashRecord{crash: c.Crash, at: now.Add(-c.Age), cleared: c.Cleared})
		}
		wasQuarantined := l.Quarantined(now, record.Fingerprint)
		l.mergeCrashes(now, record.Fingerprint, crashes, until)
		if !wasQuarantined && l.Quarantined(now, record.Fingerprint) {
			added++
		}
	}
	return added
}
