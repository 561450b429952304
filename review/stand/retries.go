package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// greyShare is the share of requests that a grey backend fails: srv_grey of the site file.
	greyShare = 0.45
	// lookups is the number of usual requests, and lookupInterval the time between two.
	lookups        = 3000
	lookupInterval = 10 * time.Millisecond
	// budgetWindow is budgetWindowS, and noRatio and smallSlack the operator's bounds of repeats in this deployment.
	budgetWindow = 10 * time.Second
	noRatio      = "0"
	smallSlack   = 10
)

// repeatsWithoutRatio lets all backends fail a share of their requests, while the operator allows no repeats in
// proportion to the requests but only a fixed number in each window.
func repeatsWithoutRatio(record *recorder, trouble bool) (bool, string, error) {
	f, err := startFleetWith(record, noRatio, smallSlack, "front", "work", "work", "work")
	if err != nil {
		return false, "", err
	}
	defer f.close()
	if trouble {
		record.logf("each backend fails %.2f of its requests from now on", greyShare)
		for _, m := range f.machines {
			m.backend.failShare = greyShare
		}
	}
	for range lookups {
		go f.machines[0].request(http.MethodGet, "/w/item?work=20")
		time.Sleep(lookupInterval)
	}
	time.Sleep(timeLimit)
	most := f.mostRepeats()
	return most > smallSlack, fmt.Sprintf(
		"BUDGET: up to %d arrivals beyond the first of a request within %v; 0 x the requests + %d are allowed", most, budgetWindow, smallSlack), nil
}

// mostRepeats returns the largest number of arrivals beyond the first of each request within a budgetWindow.
func (f *fleet) mostRepeats() int {
	var repeats []time.Time
	first := map[string]bool{}
	for _, one := range f.runs.snapshot() {
		if first[one.attempt] {
			repeats = append(repeats, one.at)
		}
		first[one.attempt] = true
	}
	most, start := 0, 0
	for i, at := range repeats {
		for at.Sub(repeats[start]) > budgetWindow {
			start++
		}
		most = max(most, i-start+1)
	}
	return most
}
