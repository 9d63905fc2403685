// Package tomlconfig reads TOML files into structs and reports every error of a file at once, each with its line, its
// key and what would be right.
//
// It owns the decoding of the operator's settings file and of the laboratory's scenario, experiment and fault schedule
// files: the syntax, keys that are not known (with the most similar known key), values of the wrong type, values outside
// their bounds, and references to environment variables. It does not know any particular setting: the sections belong to
// the packages that use them (see package operator), which describe their keys by struct tags:
//
//   - toml: the key's name; a field without it is not read;
//   - doc: what the key is, one phrase;
//   - min, max: the bounds of a number, a Duration or a Bytes, both included, written as in the file;
//   - oneof: the texts that are allowed, separated by spaces;
//   - omitted: the text that an empty or absent value stands for, for elements of arrays, which have no defaults;
//   - secret: if not empty, the value is masked in Values.
//
// Invariants: a file with an error yields no struct; the same file yields the same errors in the same order; a reference
// "${NAME}" is replaced only if it is the complete value of a known key, and what replaces it cannot change the rest of
// the file.
//
// A struct, or one nested in it, may implement Checker for rules that concern several keys.
package tomlconfig
