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
const mostRecords = 64

// recorded is what is stored of records.
func (m *machine) recorded(records []any) []any {
	var stored []any
	for _, record := range records {
		_, snapshot := record.(chain.Snapshot)
		if !snapshot && m.records >= mostRecords {
			record, snapshot = m.node.Snapshot(), true
		}
		if snapshot {
			m.records = 0
		}
		m.records++
		stored = append(stored, record)
	}
	return stored
}

// write stores what waits, with one sync.
func (m *machine) write(life int) {
	if m.life != life || m.writing || len(m.jobs) == 0 {
		return
	}
	jobs := m.jobs
	m.jobs, m.inWriting = nil, jobs
	m.writing, m.writingSince = true, m.world.now
	takes := syncTime
	if m.world.now < m.stalledUntil {
		takes += m.stalledUntil - m.world.now
	}
	m.world.after(takes, func() { m.written(life, jobs) })
}

func (m *machine) written(life int, jobs []job) {
	if m.life != life || !m.up {
		return
	}
	if !m.runs() {
		m.world.at(m.frozenUntil, func() { m.written(life, jobs) })
		return
	}
	m.writing, m.inWriting = false, nil
	for _, j := range jobs {
		m.persist(j.records)
	}
	for _, j := range jobs {
		m.deliver(j.messages)
	}
	m.write(life)
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
	m.lost++
}

// storedOperations is how many operations a machine's disk holds.
func (m *machine) storedOperations() int {
	if len(m.disk) == 0 {
		return 0
	}
	return len(chain.Restore(m.config(), m.world.now, m.disk).LatestOrAcceptedState().Value.(log).operations)
}
