package tomlconfig

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// Keys returns the keys in the order of the fields, with [] for the index of an array.
func TestKeys(t *testing.T) {
	var names []string
	for _, key := range Keys(defaultSettings()) {
		names = append(names, key.Name)
	}
	want := strings.Fields("mode workers ratio enabled timeout buffer token names limits.lower limits.upper route[].path route[].kind")
	if !slices.Equal(names, want) {
		t.Errorf("keys %v, want %v", names, want)
	}
}

// Values are formatted as in a file and have their sources. Secrets are masked.
func TestValues(t *testing.T) {
	decoded, sources, errs := decodeSettings("token = \"${TOKEN}\"\ntimeout = \"1500us\"\n[[route]]\npath = \"/\"\n")
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	var lines []string
	for _, value := range Values("main", decoded, sources) {
		lines = append(lines, value.Key+" "+value.Text+" "+value.Source)
		if value.Key == "main.token" && !strings.Contains(value.Unmasked, "s\\\"e") {
			t.Errorf("unmasked %q", value.Unmasked)
		}
	}
	// Sources has the keys without the table's name, so with a table name all values count as defaults. In package operator
	// the keys of the file have the name of the table.
	want := []string{
		`main.mode "fast" default`, `main.workers 2 default`, `main.ratio 0 default`, `main.enabled false default`,
		`main.timeout "1.5ms" default`, `main.buffer "1KiB" default`, `main.token "***" default`, `main.names ["a"] default`,
		`main.limits.lower 1 default`, `main.limits.upper 10 default`, `main.route[0].path "/" default`, `main.route[0].kind "exact" default`,
	}
	if !slices.Equal(lines, want) {
		t.Errorf("values\n%s\nwant\n%s", strings.Join(lines, "\n"), strings.Join(want, "\n"))
	}
	if values := Values("", decoded, sources); values[4].Source != "settings.toml:2" || values[6].Source != "environment TOKEN" {
		t.Errorf("sources of %+v and %+v", values[4], values[6])
	}
}

// Formatting and parsing a size or a duration yields the same value. Malformed texts are errors.
func TestUnits(t *testing.T) {
	for text, want := range map[string]Bytes{"0B": 0, "512B": 512, "4KiB": 4 << 10, "1536KiB": 3 << 19, "16 MiB": 16 << 20, "2GiB": 2 << 30} {
		var size, again Bytes
		if err := size.UnmarshalText([]byte(text)); err != nil || size != want {
			t.Errorf("%s: %d, %v", text, size, err)
		}
		written, _ := size.MarshalText()
		if err := again.UnmarshalText(written); err != nil || again != want {
			t.Errorf("%s is written %s", text, written)
		}
	}
	for _, text := range []string{"", "5", "MiB", "-1B", "5MB", "1.5KiB", "9999999999GiB"} {
		if err := new(Bytes).UnmarshalText([]byte(text)); err == nil {
			t.Errorf("size %q is accepted", text)
		}
	}
	var timeout Duration
	if err := timeout.UnmarshalText([]byte("1.5s")); err != nil || timeout != Duration(1500*time.Millisecond) {
		t.Errorf("duration %v, %v", timeout, err)
	}
	if got := Format(reflect.ValueOf(timeout)); got != `"1.5s"` {
		t.Errorf("duration is written %s", got)
	}
	for _, text := range []string{"", "5", "a second"} {
		if err := new(Duration).UnmarshalText([]byte(text)); err == nil {
			t.Errorf("duration %q is accepted", text)
		}
	}
}

func TestDescribeBounds(t *testing.T) {
	for tag, want := range map[reflect.StructTag]string{
		`min:"1" max:"9"`: " (1 to 9)", `min:"1"`: " (at least 1)", `max:"9"`: " (at most 9)", ``: "",
	} {
		if got := DescribeBounds(reflect.StructField{Tag: tag}); got != want {
			t.Errorf("%s: %q, want %q", tag, got, want)
		}
	}
}

// A file up to the size limit is read. A larger or unreadable file is an error with the file's path.
func TestRead(t *testing.T) {
	directory := t.TempDir()
	largest, tooLong := filepath.Join(directory, "largest.toml"), filepath.Join(directory, "long.toml")
	for path, size := range map[string]int{largest: maxFileSize, tooLong: maxFileSize + 1} {
		if err := os.WriteFile(path, make([]byte, size), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if data, errs := Read(largest); len(data) != maxFileSize || len(errs) > 0 {
		t.Errorf("%d bytes, %v", len(data), errs)
	}
	for _, path := range []string{tooLong, directory, filepath.Join(directory, "absent.toml")} {
		if data, errs := Read(path); data != nil || len(errs) != 1 || errs[0].File != path || errs[0].Text == "" {
			t.Errorf("%s: %d bytes, %v", path, len(data), errs)
		}
	}
}
