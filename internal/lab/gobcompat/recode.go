package gobcompat

import (
	"bytes"
	"encoding/gob"
	"reflect"

	"github.com/pkg/errors"
)

// Recode encodes a value with its own type and decodes it into a new value of another type, as the process of another
// build would.
func Recode(value any, into reflect.Type) (any, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		return nil, errors.Wrap(err, "value cannot be encoded")
	}
	decoded := reflect.New(into)
	if err := gob.NewDecoder(&buffer).DecodeValue(decoded); err != nil {
		return nil, errors.Wrap(err, "value cannot be decoded")
	}
	return decoded.Interface(), nil
}
