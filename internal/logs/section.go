package logs

import (
	"fmt"

	"go.uber.org/zap/zapcore"

	"dykering/internal/operator"
	"dykering/internal/tomlconfig"
)

// The values of Section.Format.
const (
	FormatConsole = "console"
	FormatJSON    = "json"
)

// Section is the table [log] of the operator's file.
type Section struct {
	Format   string           `toml:"format" doc:"format of the lines: console or json" oneof:"console json"`
	Level    Level            `toml:"level" doc:"lowest level that is logged: debug, info, warn or error"`
	Burst    int              `toml:"burst" doc:"maximum number of lines of one event per second; further lines are only counted" min:"1" max:"1000"`
	MaxLines int              `toml:"most" doc:"maximum number of lines of all events per second; the first of each event is not limited" min:"1" max:"10000"`
	Buffer   tomlconfig.Bytes `toml:"buffer" doc:"memory for lines that wait to be written; read only at the start" min:"4KiB" max:"16MiB"`
}

// Default returns the settings that apply without an operator's file.
func Default() *Section {
	return &Section{Format: FormatConsole, Level: Level{zapcore.InfoLevel}, Burst: 20, MaxLines: 80, Buffer: 512 << 10}
}

func init() {
	operator.Register("log", "Log of the process, which is written to standard error.",
		func() any { return Default() })
}

// Level is the lowest level that is logged.
type Level struct{ zapcore.Level }

// UnmarshalText parses the name of a level.
func (l *Level) UnmarshalText(text []byte) error {
	for _, level := range []zapcore.Level{zapcore.DebugLevel, zapcore.InfoLevel, zapcore.WarnLevel, zapcore.ErrorLevel} {
		if level.String() == string(text) {
			l.Level = level
			return nil
		}
	}
	return fmt.Errorf("%q is not one of debug, info, warn, error", text)
}

// MarshalText returns the name of the level.
func (l Level) MarshalText() ([]byte, error) { return []byte(l.Level.String()), nil }
