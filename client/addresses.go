package client

import (
	"math/rand/v2"
	"sync"
	"time"
)

// noAddress stands for the address of the attempt before the first.
const noAddressIndex = -1

// addressList decides which address is asked next. Calls share it, so that a call begins at an address that answered
// others.
type addressList struct {
	hostPorts []string

	mu        sync.Mutex
	current   int         // the address that calls begin with
	notBefore []time.Time // by address: when it may be asked again
}

// newAddressList returns a list that begins at a random address, so that many clients spread over all of them.
func newAddressList(names []string) *addressList {
	return &addressList{hostPorts: names, current: rand.IntN(len(names)), notBefore: make([]time.Time, len(names))}
}

// next returns the address to ask after one failed, and the time before which it should not be asked. It prefers another
// address that may be asked now; if there is none, it returns the one that may be asked first.
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

// fail notes that an address failed: calls begin at the one after it. It is not asked before retryAfter has passed.
func (l *addressList) markFailed(index int, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == index {
		l.current = (index + 1) % len(l.hostPorts)
	}
	l.notBefore[index] = time.Now().Add(retryAfter)
}
