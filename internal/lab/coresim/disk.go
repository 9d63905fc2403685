package coresim

import (
	"dykering/internal/chain"
)

// job is records to store, and messages that go out once they are.
type job struct {
	records  []any
	messages []chain.Envelope
}

// mostRecords is how many records a file of the emulated disk holds. The next one is a snapshot, that stands for all before.
const maxRecordsInFile = 64

// recorded is what is stored of records.
func (m *machine) recordsToStore(records []any) []any {
	var stored []any
	for _, record := range records {
		_, snapshot := record.(chain.Snapshot)
		if !snapshot && m.recordsInFile >= maxRecordsInFile {
			record, snapshot = m.node.Snapshot(), true
		}
		if snapshot {
			m.recordsInFile = 0
		}
		m.recordsInFile++
		stored = append(stored, record)
	}
	return stored
}

// write stores what waits, with one sync.
func (m *machine) startSync(life int) {
	if m.incarnation != life || m.isSyncing || len(m.queued) == 0 {
		return
	}
	jobs := m.queued
	m.queued, m.syncing = nil, jobs
	m.isSyncing, m.syncingSince = true, m.world.now
	takes := syncDuration
	if m.world.now < m.stalledUntil {
		takes += m.stalledUntil - m.world.now
	}
	m.world.after(takes, func() { m.finishSync(life, jobs) })
}

func (m *machine) finishSync(life int, jobs []job) {
	if m.incarnation != life || !m.up {
		return
	}
	if !m.isRunning() {
		m.world.at(m.frozenUntil, func() { m.finishSync(life, jobs) })
		return
	}
	m.isSyncing, m.syncing = false, nil
	for _, j := range jobs {
		m.persist(j.records)
	}
	for _, j := range jobs {
		m.deliver(j.messages)
	}
	m.startSync(life)
}

// persist puts records on the disk.
func (m *machine) persist(records []any) {
	for _, record := range records {
		if _, snapshot := record.(chain.Snapshot); snapshot {
			m.disk = nil
		}
		m.disk = append(m.disk, record)
	}
}

// wipe loses the disk of a process that does not run.
func (m *machine) wipe() {
	m.disk = nil
	m.lostDisks++
}

// storedOperations is how many operations a machine's disk holds.
func (m *machine) persistedOperations() int {
	if len(m.disk) == 0 {
		return 0
	}
	return len(chain.Restore(m.config(), m.world.now, m.disk).LatestOrAcceptedState().Value.(log).operations)
}
