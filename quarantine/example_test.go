package quarantine_test

import (
	"fmt"
	"time"

	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// A fingerprint that was in flight when two upstream processes crashed is refused.
func ExampleList() {
	suspects := quarantine.NewList(nil) // nil: notices are not sent to other nodes
	now := time.Now()
	const content quarantine.Fingerprint = 42
	for _, crash := range []quarantine.Crash{1, 2} {
		suspects.Report(now, crash, []quarantine.Fingerprint{content})
		fmt.Println(suspects.Quarantined(now, content))
	}
	decision, retryAfter := suspects.Admit(now, content)
	fmt.Println(decision == quarantine.Refuse, retryAfter)
	// Output:
	// false
	// true
	// true 5m0s
}
