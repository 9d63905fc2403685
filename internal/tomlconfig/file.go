package tomlconfig

import (
	"fmt"
	"os"

	"dykering/internal/validation"
)

// maxFileSize is the size limit of a file in bytes. It protects against reading something that is not a settings file.
const maxFileSize = 1 << 20

// Read returns the content of a file of at most 1 MiB. It returns one error, with the file's path, if the file cannot be read
// or is larger.
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
		return nil, fmt.Errorf("the file has %d bytes, the limit is %d", info.Size(), maxFileSize)
	}
	return os.ReadFile(path)
}
