package fleetconfig

import (
	"bytes"
	_ "embed"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"dykering/internal/errkind"
)

//go:embed schema.json
var schemaText []byte

const schemaName = "configuration.json"

// schemas are compiled once, at the first use.
var schemas = sync.OnceValue(func() map[Operation]*jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic(err) // part of the program; every test of this package finds it
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaName, document); err != nil {
		panic(err)
	}
	return map[Operation]*jsonschema.Schema{
		Replace: compiler.MustCompile(schemaName + "#/$defs/replace"),
		Modify:  compiler.MustCompile(schemaName + "#/$defs/modify"),
	}
})

// checkSchema tells what is wrong with the form of a change.
func checkSchema(c *Change) error {
	schema := schemas()[c.Operation]
	if schema == nil {
		return errkind.New(errkind.Malformed, "unknown operation")
	}
	instance, err := jsonschema.UnmarshalJSON(bytes.NewReader(c.Body))
	if err != nil {
		return errkind.New(errkind.InvalidConfig, "not valid JSON")
	}
	if err := schema.Validate(instance); err != nil {
		return errkind.New(errkind.InvalidConfig, err.Error())
	}
	return nil
}
