package gobcompat

import (
	"bytes"
	"encoding/gob"
	"reflect"

	"github.com/pkg/errors"
)

// Recode encodes a value with its own type and decodes it into a type made from a schema, as the process of another build
// would.
func Recode(value any, into *Schema) (any, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		return nil, errors.Wrap(err, "value cannot be encoded")
	}
	return Decode(buffer.Bytes(), into)
}

// Decode decodes what was encoded into a type made from a schema. It returns a pointer to the value.
func Decode(encoded []byte, into *Schema) (any, error) {
	of, err := into.Type()
	if err != nil {
		return nil, err
	}
	decoded := reflect.New(of)
	if err := gob.NewDecoder(bytes.NewReader(encoded)).DecodeValue(decoded); err != nil {
		return nil, errors.Wrap(err, "value cannot be decoded")
	}
	return decoded.Interface(), nil
}
