//! Parsing of JSON with comments that records the line of every field.

use std::collections::BTreeMap;

use jsonc_parser::ast::{Object, Value as AstValue};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::{Map, Value};

use crate::field_path::FieldPath;

/// A parsed document.
#[derive(Debug, Default)]
pub(crate) struct JsonDocument {
    /// The parsed content.
    pub value: Value,
    /// 1-based line of each field and element.
    pub lines: BTreeMap<FieldPath, usize>,
    /// Fields that occur again in the same object, with the line of the later occurrence.
    pub duplicates: Vec<(FieldPath, usize)>,
}

/// The text is not JSON with comments.
#[derive(Debug)]
pub(crate) struct SyntaxError {
    /// 1-based line of the error.
    pub line: usize,
    /// The parser's message.
    pub message: String,
}

/// Strict JSON except for comments and trailing commas.
pub(crate) const JSON_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

impl JsonDocument {
    /// Parses `text`. An empty text gives `null`.
    pub fn parse(text: &str) -> Result<Self, SyntaxError> {
        let tree =
            parse_to_ast(text, &CollectOptions::default(), &JSON_OPTIONS).map_err(|error| {
                SyntaxError { line: error.line_display(), message: error.kind().to_string() }
            })?;
        let mut reader =
            DocumentReader { line_starts: line_starts(text), document: Self::default() };
        if let Some(root) = &tree.value {
            reader.document.value = reader.read(root, &FieldPath::default());
        }
        Ok(reader.document)
    }

    /// The line of the field at `path`, or of its nearest ancestor that is in the document.
    pub fn line(&self, path: &FieldPath) -> Option<usize> {
        let mut path = Some(path.clone());
        while let Some(at) = path {
            if let Some(line) = self.lines.get(&at) {
                return Some(*line);
            }
            path = at.parent();
        }
        None
    }
}

/// Byte offset of the start of each line.
fn line_starts(text: &str) -> Vec<usize> {
    std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect()
}

struct DocumentReader {
    line_starts: Vec<usize>,
    document: JsonDocument,
}

impl DocumentReader {
    fn line(&self, byte: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= byte)
    }

    fn read(&mut self, node: &AstValue<'_>, path: &FieldPath) -> Value {
        match node {
            AstValue::Object(object) => self.read_object(object, path),
            AstValue::Array(array) => {
                self.record_line(path, array.range.start);
                let elements = array.elements.iter().enumerate();
                elements.map(|(at, element)| self.read(element, &path.element(at))).collect()
            }
            AstValue::StringLit(text) => {
                self.record_line(path, text.range.start);
                Value::from(text.value.as_ref())
            }
            AstValue::NumberLit(number) => {
                self.record_line(path, number.range.start);
                // The parser has checked the syntax; a number that no numeric type can hold stays a
                // string.
                number.value.parse().map_or_else(|_| Value::from(number.value), Value::Number)
            }
            AstValue::BooleanLit(flag) => {
                self.record_line(path, flag.range.start);
                Value::from(flag.value)
            }
            AstValue::NullKeyword(null) => {
                self.record_line(path, null.range.start);
                Value::Null
            }
        }
    }

    fn read_object(&mut self, object: &Object<'_>, path: &FieldPath) -> Value {
        self.record_line(path, object.range.start);
        let mut fields = Map::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let child = path.child(name);
            let value = self.read(&property.value, &child);
            let line = self.line(property.range.start);
            self.document.lines.insert(child.clone(), line);
            if fields.insert(name.to_owned(), value).is_some() {
                self.document.duplicates.push((child, line));
            }
        }
        Value::Object(fields)
    }

    fn record_line(&mut self, path: &FieldPath, byte: usize) {
        let line = self.line(byte);
        self.document.lines.entry(path.clone()).or_insert(line);
    }
}
