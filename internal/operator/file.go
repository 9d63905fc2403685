package operator

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"dykering/internal/faults"
)

const (
	maxFile   = 1 << 20 // bytes
	maxFaults = 100     // that are told
)

// File is a file that has been read and checked, or the defaults.
type File struct {
	Path     string // empty for the defaults alone
	sections map[string]any
	sources  map[string]string
}

// Section is the part of a file that a section's owner reads: a pointer of the type that its defaults have.
func Section[T any](f *File, name string) *T { return f.sections[name].(*T) }

// Defaults is what holds without a file.
func Defaults() *File {
	f := &File{sections: map[string]any{}, sources: map[string]string{}}
	for _, s := range sections {
		f.sections[s.name] = s.defaults()
	}
	return f
}

// Load reads a file. A reference to the environment is looked up with getenv.
func Load(path string, getenv func(string) (string, bool)) (*File, []faults.Fault) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxFile {
		err = fmt.Errorf("%d bytes are more than %d", info.Size(), maxFile)
	}
	var data []byte
	if err == nil {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, []faults.Fault{{File: path, Text: err.Error()}}
	}
	return Parse(path, data, getenv)
}

// Parse reads the text of a file, and finds all its faults.
func Parse(path string, data []byte, getenv func(string) (string, bool)) (*File, []faults.Fault) {
	if f, ok := syntax(path, data); !ok {
		return nil, []faults.Fault{f}
	}
	r := &reader{path: path, known: map[string]key{}, f: Defaults()}
	r.f.Path = path
	for _, k := range keys() {
		r.known[k.name] = k
	}
	r.data = data
	data = r.look(getenv)
	r.version()
	r.decode(data)
	for _, s := range sections {
		r.check(s.name, reflect.ValueOf(r.f.sections[s.name]).Elem())
		if c, ok := r.f.sections[s.name].(Checker); ok {
			for _, f := range c.Check() {
				r.fault(s.name+"."+f.Key, f.Text)
			}
		}
	}
	if len(r.faults) == 0 {
		return r.f, nil
	}
	slices.SortStableFunc(r.faults, func(a, b faults.Fault) int { return cmp.Compare(a.Line, b.Line) })
	return nil, r.faults[:min(len(r.faults), maxFaults)]
}

// syntax finds what is not TOML.
func syntax(path string, data []byte) (f faults.Fault, ok bool) {
	var got map[string]any
	err := toml.Unmarshal(data, &got)
	if err == nil {
		return f, true
	}
	f = faults.Fault{File: path, Text: err.Error()}
	if d := new(toml.DecodeError); errors.As(err, &d) {
		f.Line, _ = d.Position()
		f.Key, f.Text = strings.Join(d.Key(), "."), strings.TrimPrefix(d.Error(), "toml: ")
	}
	return f, false
}

// reader reads one file.
type reader struct {
	path   string
	data   []byte
	known  map[string]key
	f      *File
	places []place
	faults []faults.Fault
}

// place is where a key stands.
type place struct {
	key        string // with indexes
	line       int
	start, end int // of its lines, in bytes
	number     int64
	isNumber   bool
}

func (r *reader) fault(key, text string) {
	line := 0
	for _, p := range r.places {
		if p.key == key {
			line = p.line
		}
	}
	r.faults = append(r.faults, faults.Fault{File: r.path, Line: line, Key: key, Text: text})
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
	join := func(at unstable.Iterator) (name string, offset int) {
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
		name, offset := join(e.Key())
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
				if name != "version" && !r.inner(name) {
					r.unknown(name, at.line)
				}
			} else {
				r.f.sources[name] = fmt.Sprintf("%s:%d", r.path, at.line)
			}
			v := e.Value()
			if name == "version" && v.Kind == unstable.Integer {
				at.number, _ = strconv.ParseInt(string(v.Data), 0, 64)
				at.isNumber = true
			}
			if m := reference.FindStringSubmatch(string(v.Data)); v.Kind == unstable.String && m != nil && ok {
				got, set := getenv(m[1])
				if !set {
					r.faults = append(r.faults, faults.Fault{File: r.path, Line: at.line, Key: name, Text: m[1] + " is not in the environment"})
					continue
				}
				if k.field.Type.Kind() == reflect.String || isText(k.field.Type) || !bare.MatchString(got) {
					got = quote(got)
				}
				changes = append(changes, change{int(v.Raw.Offset), int(v.Raw.Offset + v.Raw.Length), got})
				r.f.sources[name] = "environment " + m[1]
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
		section, _, _ := strings.Cut(known, ".")
		consider(strings.TrimSuffix(section, "[]"))
	}
	consider("version")
	text := "not a key of this version"
	if nearest != "" {
		text += "; is " + nearest + " meant?"
	}
	r.faults = append(r.faults, faults.Fault{File: r.path, Line: line, Key: name, Text: text})
}

// version finds whether the file is of the version that is read.
func (r *reader) version() {
	for _, p := range r.places {
		if p.key == "version" {
			if !p.isNumber || p.number != Version {
				r.fault("version", fmt.Sprintf("has to be %d", Version))
			}
			return
		}
	}
	r.faults = append(r.faults, faults.Fault{File: r.path, Line: 0, Key: "version", Text: fmt.Sprintf("missing; version = %d goes first", Version)})
}

// decode puts the values into the sections. What has the wrong type is named and left out, and the rest read again,
// so that all faults are found.
func (r *reader) decode(data []byte) {
	fields := []reflect.StructField{{Name: "Version", Type: reflect.TypeFor[any](), Tag: `toml:"version"`}}
	for _, s := range sections {
		fields = append(fields, reflect.StructField{Name: "S_" + s.name, Type: reflect.TypeOf(s.defaults()),
			Tag: reflect.StructTag(fmt.Sprintf("toml:%q", s.name))})
	}
	for range maxFaults {
		root := reflect.New(reflect.StructOf(fields))
		for i, s := range sections {
			root.Elem().Field(i + 1).Set(reflect.ValueOf(s.defaults()))
		}
		err := toml.Unmarshal(data, root.Interface())
		if err == nil {
			for i, s := range sections {
				r.f.sections[s.name] = root.Elem().Field(i + 1).Interface()
			}
			return
		}
		d := new(toml.DecodeError)
		if !errors.As(err, &d) {
			r.faults = append(r.faults, faults.Fault{File: r.path, Text: err.Error()})
			return
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
			r.faults = append(r.faults, faults.Fault{File: r.path, Line: line, Key: strings.Join(d.Key(), "."), Text: text})
			return
		}
		p := r.places[at]
		if k, ok := r.known[index.ReplaceAllString(p.key, "[]")]; ok && !isText(k.field.Type) {
			text = fmt.Sprintf("has to be %s", sort(k.field.Type))
		}
		r.faults = append(r.faults, faults.Fault{File: r.path, Line: p.line, Key: p.key, Text: text})
		data = slices.Clone(data)
		for i := p.start; i < p.end; i++ {
			if data[i] != '\n' {
				data[i] = ' '
			}
		}
	}
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
		key, field := name+"."+tag, v.Field(i)
		switch {
		case field.Kind() == reflect.Struct && !isText(field.Type()):
			r.check(key, field)
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct && !isText(field.Type().Elem()):
			for j := range field.Len() {
				r.check(fmt.Sprintf("%s[%d]", key, j), field.Index(j))
			}
		default:
			if text := outOf(f, field); text != "" {
				r.fault(key, text)
			}
		}
	}
}

// outOf tells how a value is out of its bounds.
func outOf(f reflect.StructField, v reflect.Value) string {
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

	plain string // the value, though it be secret
}

// Values are those of all keys. Secrets, as the tag secret marks them, are masked.
func (f *File) Values() (all []Value) {
	for _, s := range sections {
		all = append(all, f.valuesOf(s.name, reflect.ValueOf(f.sections[s.name]).Elem())...)
	}
	return all
}

func (f *File) valuesOf(name string, v reflect.Value) (all []Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		tag, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if tag == "" || tag == "-" {
			continue
		}
		key, value := name+"."+tag, v.Field(i)
		switch {
		case value.Kind() == reflect.Struct && !isText(value.Type()):
			all = append(all, f.valuesOf(key, value)...)
		case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct && !isText(value.Type().Elem()):
			for j := range value.Len() {
				all = append(all, f.valuesOf(fmt.Sprintf("%s[%d]", key, j), value.Index(j))...)
			}
		default:
			x := Value{Key: key, Text: text(value), Source: cmp.Or(f.sources[key], "default"), Doc: field.Tag.Get("doc")}
			x.plain = x.Text
			if field.Tag.Get("secret") != "" {
				x.Text = `"***"`
			}
			all = append(all, x)
		}
	}
	return all
}

// Change is a key whose value has changed.
type Change struct{ Key, From, To string }

// Changes are what differs between one file and the next. Of a secret it is told that it has changed.
func Changes(from, to *File) (all []Change) {
	old := map[string]Value{}
	for _, v := range from.Values() {
		old[v.Key] = v
	}
	for _, v := range to.Values() {
		if was, ok := old[v.Key]; !ok || was.plain != v.plain {
			all = append(all, Change{v.Key, was.Text, v.Text})
		}
		delete(old, v.Key)
	}
	for _, key := range slices.Sorted(maps.Keys(old)) {
		all = append(all, Change{key, old[key].Text, ""})
	}
	return all
}
