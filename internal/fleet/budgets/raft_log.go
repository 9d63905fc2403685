package budgets

import (
	"fmt"

	"go.etcd.io/raft/v3"
	"go.uber.org/zap"
)

// raftLog writes Raft's own log as debug lines, its errors as warnings: this package logs itself what matters. Raft
// expects Fatal and Panic not to return.
type raftLog struct{ log *zap.Logger }

var _ raft.Logger = raftLog{}

func (l raftLog) debug(text string) { l.log.Debug("fleet.raft", zap.String("said", text)) }
func (l raftLog) warn(text string)  { l.log.Warn("fleet.raft", zap.String("said", text)) }

// Debug discards a line.
func (raftLog) Debug(...any) {}

// Debugf discards a line.
func (raftLog) Debugf(string, ...any) {}

// Info writes a debug line.
func (l raftLog) Info(args ...any) { l.debug(fmt.Sprint(args...)) }

// Infof writes a debug line.
func (l raftLog) Infof(format string, args ...any) { l.debug(fmt.Sprintf(format, args...)) }

// Warning writes a debug line.
func (l raftLog) Warning(args ...any) { l.debug(fmt.Sprint(args...)) }

// Warningf writes a debug line.
func (l raftLog) Warningf(format string, args ...any) { l.debug(fmt.Sprintf(format, args...)) }

// Error writes a warning.
func (l raftLog) Error(args ...any) { l.warn(fmt.Sprint(args...)) }

// Errorf writes a warning.
func (l raftLog) Errorf(format string, args ...any) { l.warn(fmt.Sprintf(format, args...)) }

// Fatal panics, which Service.withVoter recovers.
func (raftLog) Fatal(args ...any) { panic(fmt.Sprint(args...)) }

// Fatalf panics, which Service.withVoter recovers.
func (raftLog) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// Panic panics, which Service.withVoter recovers.
func (raftLog) Panic(args ...any) { panic(fmt.Sprint(args...)) }

// Panicf panics, which Service.withVoter recovers.
func (raftLog) Panicf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
