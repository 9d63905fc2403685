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
	Format   string           `toml:"format" doc:"how lines look: console or json" oneof:"console json"`
	Level    Level            `toml:"level" doc:"the least that is logged: debug, info, warn or error"`
	Burst    int              `toml:"burst" doc:"lines of one event a second; what is more is counted" min:"1" max:"1000"`
	MaxLines int              `toml:"most" doc:"lines of all events a second" min:"1" max:"10000"`
	Buffer   tomlconfig.Bytes `toml:"buffer" doc:"memory for lines that wait for the sink; read at the start" min:"4KiB" max:"16MiB"`
}

// Default returns the settings that apply without an operator's file.
func Default() *Section {
	return &Section{Format: FormatConsole, Level: Level{zapcore.InfoLevel}, Burst: 20, MaxLines: 80, Buffer: 512 << 10}
}

func init() {
	operator.Register("log", "Where and how this process says what happens. Lines go to standard error.",
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
