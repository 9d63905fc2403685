package tomlconfig

import (
	"fmt"
	"os"

	"dykering/internal/validation"
)

// maxFileSize is the size in bytes of the longest file that is read; a longer one is hardly a settings file.
const maxFileSize = 1 << 20

// Read returns the content of a file of at most 1 MiB. A file that cannot be read or is longer is one error of that file.
func Read(path string) ([]byte, []validation.Error) {
	data, err := readFile(path)
	if err != nil {
		return nil, []validation.Error{{File: path, Text: err.Error()}}
	}
	return data, nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileSize {
		return nil, fmt.Errorf("%d bytes are more than %d", info.Size(), maxFileSize)
	}
	return os.ReadFile(path)
}
