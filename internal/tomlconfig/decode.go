// Package strict reads TOML files into structs and finds every fault in them: what is no TOML, keys that are not known
// with the nearest that is, wrong types, values out of their bounds, each with its line and what would be right.
package tomlconfig

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"dykering/internal/validation"
)

const (
	maxFile   = 1 << 20 // bytes
	maxFaults = 100     // that are told
)

// Read reads a file's text, up to a size.
func Read(path string) ([]byte, []validation.Error) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxFile {
		err = fmt.Errorf("%d bytes are more than %d", info.Size(), maxFile)
	}
	var data []byte
	if err == nil {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, []validation.Error{{File: path, Text: err.Error()}}
	}
	return data, nil
}

// Sources tell, by key, where a value comes from: a file's line, or the environment.
type Sources map[string]string

// Decode reads the text of a file into what defaults makes, a pointer to a struct with the tags toml and doc, and, where
// there are bounds, min, max and oneof. It finds all faults; with any, nothing is returned of it.
func Decode[T any](path string, data []byte, defaults func() *T, getenv func(string) (string, bool)) (*T, Sources, []validation.Error) {
	got, from, wrong := DecodeAny(path, data, func() any { return defaults() }, getenv)
	if len(wrong) > 0 {
		return nil, nil, wrong
	}
	return got.(*T), from, nil
}

// DecodeAny is Decode for a type that is not known before.
func DecodeAny(path string, data []byte, defaults func() any, getenv func(string) (string, bool)) (any, Sources, []validation.Error) {
	if f, ok := syntax(path, data); !ok {
		return nil, nil, []validation.Error{f}
	}
	r := &reader{path: path, known: map[string]Key{}, sources: Sources{}}
	for _, k := range Keys(defaults()) {
		r.known[k.Name] = k
	}
	r.data = data
	data = r.look(getenv)
	root := r.decode(data, defaults)
	if root != nil {
		r.check("", reflect.ValueOf(root).Elem())
		r.ask("", reflect.ValueOf(root))
	}
	if len(r.faults) == 0 {
		return root, r.sources, nil
	}
	slices.SortStableFunc(r.faults, func(a, b validation.Error) int { return cmp.Compare(a.Line, b.Line) })
	return nil, nil, r.faults[:min(len(r.faults), maxFaults)]
}

// ask asks a struct, and those in it, that know more faults than their keys' types and bounds tell.
func (r *reader) ask(name string, v reflect.Value) {
	if c, ok := v.Interface().(Checker); ok {
		for _, f := range c.Check() {
			r.fault(join(name, f.Key), f.Text)
		}
	}
	for i := range v.Elem().NumField() {
		f := v.Elem().Type().Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		field := v.Elem().Field(i)
		if field.Kind() == reflect.Pointer {
			field = field.Elem()
		}
		if tag != "" && tag != "-" && field.Kind() == reflect.Struct && !isText(field.Type()) {
			r.ask(join(name, tag), field.Addr())
		}
	}
}

// syntax finds what is not TOML.
func syntax(path string, data []byte) (f validation.Error, ok bool) {
	var got map[string]any
	err := toml.Unmarshal(data, &got)
	if err == nil {
		return f, true
	}
	f = validation.Error{File: path, Text: err.Error()}
	if d := new(toml.DecodeError); errors.As(err, &d) {
		f.Line, _ = d.Position()
		f.Key, f.Text = strings.Join(d.Key(), "."), strings.TrimPrefix(d.Error(), "toml: ")
	}
	return f, false
}

// reader reads one file.
type reader struct {
	path    string
	data    []byte
	known   map[string]Key
	sources Sources
	places  []place
	faults  []validation.Error
}

// place is where a key stands.
type place struct {
	key        string // with indexes
	line       int
	start, end int // of its lines, in bytes
}

func (r *reader) fault(key, text string) {
	line := 0
	for _, p := range r.places {
		if p.key == key {
			line = p.line
		}
	}
	if line == 0 {
		text = "missing: " + text
	}
	r.faults = append(r.faults, validation.Error{File: r.path, Line: line, Key: key, Text: text})
}

var (
	reference = regexp.MustCompile(`^\$\{([A-Za-z_][A-Za-z0-9_]*)\}$`)
	index     = regexp.MustCompile(`\[\d+\]`)
	bare      = regexp.MustCompile(`^[A-Za-z0-9_+.-]+$`)
)

// look finds the place of each key, names those that are not known, and puts in what the environment says.
func (r *reader) look(getenv func(string) (string, bool)) []byte {
	type change struct {
		from, to int
		text     string
	}
	var changes []change
	var p unstable.Parser
	p.Reset(r.data)
	prefix, counts := "", map[string]int{}
	named := func(at unstable.Iterator) (name string, offset int) {
		offset = -1
		for at.Next() {
			if offset < 0 {
				offset = int(at.Node().Raw.Offset)
			}
			if name != "" {
				name += "."
			}
			name += string(at.Node().Data)
		}
		return name, offset
	}
	note := func(name string, offset int) *place {
		line := 1 + strings.Count(string(r.data[:offset]), "\n")
		start := 1 + strings.LastIndexByte(string(r.data[:offset]), '\n')
		if n := len(r.places); n > 0 {
			r.places[n-1].end = start
		}
		r.places = append(r.places, place{key: name, line: line, start: start, end: len(r.data)})
		return &r.places[len(r.places)-1]
	}
	for p.NextExpression() {
		e := p.Expression()
		name, offset := named(e.Key())
		switch e.Kind {
		case unstable.Table:
			prefix = name + "."
			r.table(name, note(name, offset))
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d].", name, counts[name])
			counts[name]++
			r.table(name+"[]", note(name, offset))
		case unstable.KeyValue:
			name = prefix + name
			at := note(name, offset)
			k, ok := r.known[index.ReplaceAllString(name, "[]")]
			if !ok {
				if !r.inner(name) {
					r.unknown(name, at.line)
				}
			} else {
				r.sources[name] = fmt.Sprintf("%s:%d", r.path, at.line)
			}
			v := e.Value()
			if m := reference.FindStringSubmatch(string(v.Data)); v.Kind == unstable.String && m != nil && ok {
				got, set := getenv(m[1])
				if !set {
					r.faults = append(r.faults, validation.Error{File: r.path, Line: at.line, Key: name, Text: m[1] + " is not in the environment"})
					continue
				}
				if k.Field.Type.Kind() == reflect.String || isText(k.Field.Type) || !bare.MatchString(got) {
					got = quote(got)
				}
				changes = append(changes, change{int(v.Raw.Offset), int(v.Raw.Offset + v.Raw.Length), got})
				r.sources[name] = "environment " + m[1]
			}
		}
	}
	data := r.data
	for _, c := range slices.Backward(changes) {
		data = slices.Concat(data[:c.from], []byte(c.text), data[c.to:])
		for i := range r.places {
			grown := len(c.text) - (c.to - c.from)
			if r.places[i].start > c.from {
				r.places[i].start += grown
			}
			if r.places[i].end > c.from {
				r.places[i].end += grown
			}
		}
	}
	return data
}

// quote writes a string as TOML does.
func quote(s string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, c := range s {
		if c == '"' || c == '\\' || c < ' ' || c == 0x7f {
			fmt.Fprintf(&b, "\\u%04X", c)
		} else {
			b.WriteRune(c)
		}
	}
	b.WriteByte('"')
	return b.String()
}

// inner tells whether a name is of a key that holds tables in one line, whose keys the decoder knows.
func (r *reader) inner(name string) bool {
	plain := index.ReplaceAllString(name, "[]")
	for known := range r.known {
		if strings.HasPrefix(known, plain+".") || strings.HasPrefix(known, plain+"[].") {
			return true
		}
	}
	return false
}

// table names a table that is not known.
func (r *reader) table(name string, at *place) {
	for known := range r.known {
		if strings.HasPrefix(known, name+".") {
			return
		}
	}
	r.unknown(strings.TrimSuffix(name, "[]"), at.line)
}

// unknown names a key or table that is not known, and the nearest that is.
func (r *reader) unknown(name string, line int) {
	for _, f := range r.faults {
		if strings.HasPrefix(name, f.Key+".") && strings.HasPrefix(f.Text, "not a ") {
			return // its table is not known
		}
	}
	plain := index.ReplaceAllString(name, "[]")
	nearest, least := "", 1+max(2, len(plain)/3)
	consider := func(known string) {
		if d := levenshtein.ComputeDistance(plain, known); d < least || d == least && known < nearest {
			nearest, least = known, d
		}
	}
	for known := range r.known {
		consider(known)
		table, _, _ := strings.Cut(known, ".")
		consider(strings.TrimSuffix(table, "[]"))
	}
	text := "not a key of this version"
	if nearest != "" {
		text += "; is " + nearest + " meant?"
	}
	r.faults = append(r.faults, validation.Error{File: r.path, Line: line, Key: name, Text: text})
}

// decode puts the values into a struct. What has the wrong type is named and left out, and the rest read again, so
// that all faults are found.
func (r *reader) decode(data []byte, defaults func() any) any {
	for range maxFaults {
		root := defaults()
		err := toml.Unmarshal(data, root)
		if err == nil {
			return root
		}
		d := new(toml.DecodeError)
		if !errors.As(err, &d) {
			r.faults = append(r.faults, validation.Error{File: r.path, Text: err.Error()})
			return nil
		}
		line, _ := d.Position()
		text := strings.TrimPrefix(d.Error(), "toml: ")
		at := -1
		for i, p := range r.places {
			if p.line <= line {
				at = i
			}
		}
		if at < 0 || strings.HasSuffix(r.places[at].key, "]") {
			r.faults = append(r.faults, validation.Error{File: r.path, Line: line, Key: strings.Join(d.Key(), "."), Text: text})
			return nil
		}
		p := r.places[at]
		if k, ok := r.known[index.ReplaceAllString(p.key, "[]")]; ok && !isText(k.Field.Type) {
			text = fmt.Sprintf("has to be %s", sort(k.Field.Type))
		}
		r.faults = append(r.faults, validation.Error{File: r.path, Line: p.line, Key: p.key, Text: text})
		data = slices.Clone(data)
		for i := p.start; i < p.end; i++ {
			if data[i] != '\n' {
				data[i] = ' '
			}
		}
	}
	return nil
}

// sort is what a type is called.
func sort(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list, each of it " + sort(t.Elem())
	}
	return "a text in quotes"
}

// check finds values that are out of their bounds.
func (r *reader) check(name string, v reflect.Value) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if tag == "" || tag == "-" {
			continue
		}
		key, field := join(name, tag), v.Field(i)
		if field.Kind() == reflect.Pointer {
			field = field.Elem()
		}
		switch {
		case field.Kind() == reflect.Struct && !isText(field.Type()):
			r.check(key, field)
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct && !isText(field.Type().Elem()):
			for j := range field.Len() {
				r.check(fmt.Sprintf("%s[%d]", key, j), field.Index(j))
			}
		default:
			told := slices.ContainsFunc(r.faults, func(f validation.Error) bool { return f.Key == key })
			if text := outOf(f, field); text != "" && !told {
				r.fault(key, text)
			}
		}
	}
}

// outOf tells how a value is out of its bounds. A text that is left out is what its tag omitted says: in a part of an
// array no defaults stand.
func outOf(f reflect.StructField, v reflect.Value) string {
	if omitted := f.Tag.Get("omitted"); omitted != "" && v.Kind() == reflect.String && v.String() == "" {
		v.SetString(omitted)
	}
	if words := strings.Fields(f.Tag.Get("oneof")); len(words) > 0 && !slices.Contains(words, v.String()) {
		return fmt.Sprintf("%q is not one of %s", v.String(), strings.Join(words, ", "))
	}
	for _, bound := range []struct {
		tag  string
		sign int
		text string
	}{{"min", -1, "has to be at least %s"}, {"max", 1, "has to be at most %s"}} {
		limit := f.Tag.Get(bound.tag)
		if limit != "" && compare(v, parse(f.Type, limit)) == bound.sign {
			return fmt.Sprintf(bound.text, limit)
		}
	}
	return ""
}

// parse reads a bound, as its key's values are written. Bounds stand in the code: one that cannot be read is a fault
// of the program's, that its tests find.
func parse(t reflect.Type, s string) reflect.Value {
	v := reflect.New(t)
	if u, ok := v.Interface().(interface{ UnmarshalText([]byte) error }); ok {
		if err := u.UnmarshalText([]byte(s)); err != nil {
			panic(err)
		}
		return v.Elem()
	}
	n, err := strconv.ParseFloat(s, 64)
	if err != nil {
		panic(err)
	}
	return reflect.ValueOf(n).Convert(t)
}

func compare(a, b reflect.Value) int {
	if a.CanInt() {
		return cmp.Compare(a.Int(), b.Int())
	}
	return cmp.Compare(a.Float(), b.Float())
}

// Value is a key's value and where it comes from.
type Value struct {
	Key, Text, Source, Doc string

	Plain string // the value, though it be secret
}

// Values are those of all keys of a struct, a pointer to which is given, behind the name of its table. Secrets, as the
// tag secret marks them, are masked.
func Values(table string, root any, from Sources) []Value {
	return from.valuesOf(table, reflect.ValueOf(root).Elem())
}

func (from Sources) valuesOf(name string, v reflect.Value) (all []Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		tag, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if tag == "" || tag == "-" {
			continue
		}
		key, value := join(name, tag), v.Field(i)
		if value.Kind() == reflect.Pointer {
			value = value.Elem()
		}
		switch {
		case value.Kind() == reflect.Struct && !isText(value.Type()):
			all = append(all, from.valuesOf(key, value)...)
		case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct && !isText(value.Type().Elem()):
			for j := range value.Len() {
				all = append(all, from.valuesOf(fmt.Sprintf("%s[%d]", key, j), value.Index(j))...)
			}
		default:
			x := Value{Key: key, Text: Text(value), Source: cmp.Or(from[key], "default"), Doc: field.Tag.Get("doc")}
			x.Plain = x.Text
			if field.Tag.Get("secret") != "" {
				x.Text = `"***"`
			}
			all = append(all, x)
		}
	}
	return all
}
