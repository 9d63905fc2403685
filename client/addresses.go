package client

import (
	"math/rand/v2"
	"sync"
	"time"
)

// noAddressIndex is the index of the failed address before the first attempt.
const noAddressIndex = -1

// addressList selects the address of the next attempt. All calls of a client share it, so that a call starts with an address
// that answered other calls.
type addressList struct {
	hostPorts []string

	mu        sync.Mutex
	current   int         // index of the address that calls start with
	notBefore []time.Time // by address: earliest time of the next attempt
}

// newAddressList returns a list that starts with a random address, so that clients spread over all addresses.
func newAddressList(names []string) *addressList {
	return &addressList{hostPorts: names, current: rand.IntN(len(names)), notBefore: make([]time.Time, len(names))}
}

// next takes the index of the address that failed last. It returns the index of the address for the next attempt, and the
// earliest time of that attempt, which is zero for now. It prefers another address that is available now. If there is none, it
// returns the address that becomes available first.
func (l *addressList) next(failed int) (index int, notBefore time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, earliest := time.Now(), noAddressIndex
	for offset := range l.hostPorts {
		index := (l.current + offset) % len(l.hostPorts)
		if index != failed && !l.notBefore[index].After(now) {
			return index, time.Time{}
		}
		if earliest == noAddressIndex || l.notBefore[index].Before(l.notBefore[earliest]) {
			earliest = index
		}
	}
	return earliest, l.notBefore[earliest]
}

// markFailed records that an address failed. Calls then start with the next address, and the failed one is not used again
// until retryAfter has passed.
func (l *addressList) markFailed(index int, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == index {
		l.current = (index + 1) % len(l.hostPorts)
	}
	l.notBefore[index] = time.Now().Add(retryAfter)
}
