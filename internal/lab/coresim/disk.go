package coresim

import (
	"dykering/internal/chain"
)

// maxRecordsInFile is the number of records in a file of the simulated disk. The next record is a snapshot, which replaces all
// earlier records, as in internal/controlplane.
const maxRecordsInFile = 64

// storeJob is an output of the state machine. Its messages are sent only when its records are on disk.
type storeJob struct {
	records  []any
	messages []chain.Envelope
}

// recordsToStore returns the records that are stored for an output. A record that would begin a new file is replaced by a
// snapshot.
func (m *machine) recordsToStore(records []any) []any {
	var stored []any
	for _, record := range records {
		_, isSnapshot := record.(chain.Snapshot)
		if !isSnapshot && m.recordsInFile >= maxRecordsInFile {
			record, isSnapshot = m.node.Snapshot(), true
		}
		if isSnapshot {
			m.recordsInFile = 0
		}
		m.recordsInFile++
		stored = append(stored, record)
	}
	return stored
}

// startSync stores all queued jobs with one sync, unless a sync is in progress.
func (m *machine) startSync(incarnation int) {
	if m.incarnation != incarnation || m.isSyncing || len(m.queued) == 0 {
		return
	}
	jobs := m.queued
	m.queued = nil
	m.syncing = jobs
	m.isSyncing = true
	m.syncingSince = m.sim.now
	duration := syncDuration
	if m.sim.now < m.stalledUntil {
		duration += m.stalledUntil - m.sim.now
	}
	m.sim.after(duration, func() { m.finishSync(incarnation, jobs) })
}

// finishSync puts the records of the jobs on the disk and sends their messages. A frozen process does so after its resumption.
func (m *machine) finishSync(incarnation int, jobs []storeJob) {
	if m.incarnation != incarnation || !m.up {
		return
	}
	if !m.isRunning() {
		m.sim.at(m.frozenUntil, func() { m.finishSync(incarnation, jobs) })
		return
	}
	m.isSyncing = false
	m.syncing = nil
	for _, job := range jobs {
		m.persist(job.records)
	}
	for _, job := range jobs {
		m.deliver(job.messages)
	}
	m.startSync(incarnation)
}

// persist puts records on the disk. A snapshot replaces all earlier records.
func (m *machine) persist(records []any) {
	for _, record := range records {
		if _, isSnapshot := record.(chain.Snapshot); isSnapshot {
			m.disk = nil
		}
		m.disk = append(m.disk, record)
	}
}

// persistTorn puts a random prefix of the records whose sync is in progress on the disk.
func (m *machine) persistTorn() {
	var records []any
	for _, job := range m.syncing {
		records = append(records, job.records...)
	}
	m.persist(records[:m.sim.random.IntN(len(records)+1)])
}

// loseDisk empties the disk of a machine whose process does not run.
func (m *machine) loseDisk() {
	m.disk, m.sessionDisk = nil, nil
	m.lostDisks++
}

// persistedOperations returns the number of operations that a process would restore from the disk.
func (m *machine) persistedOperations() int {
	if len(m.disk) == 0 {
		return 0
	}
	node := chain.Restore(m.config(), m.sim.now, m.disk)
	return len(node.LatestOrAcceptedState().Value.(log).operations)
}
