// Package gobcompat has what tests need to show that values which an earlier build has encoded with encoding/gob are
// still read in full, and that this earlier build reads what the present code encodes.
//
// A fixture is made once, by the earlier build: the bytes that it writes for values in which no field is zero (Filler), a
// text that names each field and its value (Render), and the structure of the types (Schema). A test decodes the bytes
// with the present types and compares the rendered text, so that a field that was renamed or lost its value fails it; and
// it encodes the values with the present types and decodes them into types made anew from the schema. Names of types
// appear in none of them, as gob does not match types by name: a type may be renamed, a field may not.
//
// The package is for tests only.
package gobcompat
