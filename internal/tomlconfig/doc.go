// Package tomlconfig reads TOML files into structs and reports every error of a file at once, each with its line, its
// key and the expected value.
//
// It decodes the operator's settings file and the scenario, experiment and fault schedule files of dykering-lab. It handles
// the syntax, unknown keys (with a suggestion of the most similar known key), values of the wrong type, values outside
// their bounds, and references to environment variables. It does not know any particular setting: the sections belong to
// the packages that use them (see package operator), which describe their keys by struct tags:
//
//   - toml: the name of the key; a field without this tag is not read;
//   - doc: one phrase of documentation;
//   - min, max: the inclusive bounds of a number, a Duration or a Bytes, written as in the file;
//   - oneof: the allowed texts, separated by spaces;
//   - omitted: the default of a text in an element of an array, which replaces an empty or absent value;
//   - secret: if not empty, the value is masked in Values.
//
// Invariants: a file with an error yields no struct; the same file yields the same errors in the same order; a reference
// "${NAME}" is replaced only if it is the complete value of a known key, and the substituted text cannot change the meaning
// of the rest of the file.
//
// A struct, or one nested in it, may implement Checker for rules that concern several keys.
package tomlconfig
