package fleetconfig

import (
	"bytes"
	_ "embed"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"dykering/internal/errkind"
)

//go:embed schema.json
var schemaText []byte

// schemaName is the resource name of the schema. It is part of the messages of validation errors.
const schemaName = "configuration.json"

// schemas returns the schema of each operation's body. It compiles the schemas at its first call.
var schemas = sync.OnceValue(func() map[Operation]*jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic(err) // the schema is embedded, and the tests compile it
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

// validateSchema validates the body of a change against the JSON schema of its operation.
func validateSchema(c *Change) error {
	schema := schemas()[c.Operation]
	if schema == nil {
		return errkind.New(errkind.Malformed, "unknown operation")
	}
	instance, err := jsonschema.UnmarshalJSON(bytes.NewReader(c.Body))
	if err != nil {
		return invalidConfigError("not valid JSON")
	}
	if err := schema.Validate(instance); err != nil {
		return invalidConfigError(err.Error())
	}
	return nil
}

// validate checks the rules that the schema cannot express: names are unique, no two routes have the same host and prefix,
// and each route is valid.
func (c *Config) validate() error {
	services := map[string]bool{}
	for _, service := range c.Services {
		if services[service.Name] {
			return invalidConfigError("two services are named " + service.Name)
		}
		services[service.Name] = true
	}
	type match struct{ host, prefix string }
	matches, names := map[match]bool{}, map[string]bool{}
	for i := range c.Routes {
		route := &c.Routes[i]
		matched := match{strings.ToLower(route.Host), route.PathPrefix}
		if matches[matched] {
			return invalidConfigError("two routes share host and prefix: " + route.Name)
		}
		if names[route.Name] {
			return invalidConfigError("two routes are named " + route.Name)
		}
		matches[matched], names[route.Name] = true, true
		if err := route.validate(services); err != nil {
			return err
		}
	}
	return nil
}

// validate checks that a route has a timeout, that its services exist, and that their weights do not sum to 0.
func (r *Route) validate(services map[string]bool) error {
	if r.TimeoutMs <= 0 {
		return invalidConfigError("route " + r.Name + ": timeout_ms is 0")
	}
	var totalWeight float64
	for _, weighted := range r.WeightedServices() {
		if !services[weighted.Service] {
			return invalidConfigError("route " + r.Name + ": unknown service " + weighted.Service)
		}
		totalWeight += weighted.Weight
	}
	if totalWeight <= 0 {
		return invalidConfigError("route " + r.Name + ": the weights sum to 0")
	}
	return nil
}

// validateReplacedServices checks the services that routes name beside a traffic split, which takes their place. Only new changes are
// checked: earlier builds accepted such names, and what they accepted must remain readable.
func (c *Config) validateReplacedServices() error {
	for i := range c.Routes {
		route := &c.Routes[i]
		if _, exists := c.Service(route.Service); route.Service != "" && !exists {
			return invalidConfigError("route " + route.Name + ": unknown service " + route.Service)
		}
	}
	return nil
}

// invalidConfigError returns an error of the kind errkind.InvalidConfig.
func invalidConfigError(detail string) error { return errkind.New(errkind.InvalidConfig, detail) }
