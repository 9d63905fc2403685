package budgets

import (
	"fmt"

	"go.etcd.io/raft/v3"
	"go.uber.org/zap"
)

// raftLogger writes Raft's errors as warnings and its other lines at debug level, because this package itself logs the
// events that matter. Raft requires that Fatal and Panic do not return.
type raftLogger struct{ log *zap.Logger }

var _ raft.Logger = raftLogger{}

func (l raftLogger) debug(text string) { l.log.Debug("fleet.raft", zap.String("said", text)) }
func (l raftLogger) warn(text string)  { l.log.Warn("fleet.raft", zap.String("said", text)) }

// Debug discards a line.
func (raftLogger) Debug(...any) {}

// Debugf discards a line.
func (raftLogger) Debugf(string, ...any) {}

// Info writes a debug line.
func (l raftLogger) Info(args ...any) { l.debug(fmt.Sprint(args...)) }

// Infof writes a debug line.
func (l raftLogger) Infof(format string, args ...any) { l.debug(fmt.Sprintf(format, args...)) }

// Warning writes a debug line.
func (l raftLogger) Warning(args ...any) { l.debug(fmt.Sprint(args...)) }

// Warningf writes a debug line.
func (l raftLogger) Warningf(format string, args ...any) { l.debug(fmt.Sprintf(format, args...)) }

// Error writes a warning.
func (l raftLogger) Error(args ...any) { l.warn(fmt.Sprint(args...)) }

// Errorf writes a warning.
func (l raftLogger) Errorf(format string, args ...any) { l.warn(fmt.Sprintf(format, args...)) }

// Fatal panics, which Service.withVoter recovers.
func (raftLogger) Fatal(args ...any) { panic(fmt.Sprint(args...)) }

// Fatalf panics, which Service.withVoter recovers.
func (raftLogger) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// Panic panics, which Service.withVoter recovers.
func (raftLogger) Panic(args ...any) { panic(fmt.Sprint(args...)) }

// Panicf panics, which Service.withVoter recovers.
func (raftLogger) Panicf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
