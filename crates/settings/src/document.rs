//! JSON with comments, with the line of every field.

use std::collections::BTreeMap;

use jsonc_parser::ast::{Object, Value as AstValue};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::{Map, Value};

use crate::field_path::FieldPath;

/// A parsed document.
#[derive(Debug, Default)]
pub(crate) struct JsonDocument {
    /// Its content.
    pub value: Value,
    /// Line of each field and element, from 1.
    pub lines: BTreeMap<FieldPath, usize>,
    /// Fields given a second time.
    pub repeated: Vec<(FieldPath, usize)>,
}

/// A text that is not JSON with comments.
#[derive(Debug)]
pub(crate) struct SyntaxFault {
    /// Where, from 1.
    pub line: usize,
    /// What is wrong.
    pub found: String,
}

/// JSON with comments and trailing commas, and nothing else beyond JSON.
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
    /// Parses `text`.
    pub fn parse(text: &str) -> Result<Self, SyntaxFault> {
        let tree =
            parse_to_ast(text, &CollectOptions::default(), &JSON_OPTIONS).map_err(|error| {
                SyntaxFault { line: error.line_display(), found: error.kind().to_string() }
            })?;
        let mut reader = DocumentReader { starts: line_starts(text), document: Self::default() };
        if let Some(root) = &tree.value {
            reader.document.value = reader.read(root, &FieldPath::default());
        }
        Ok(reader.document)
    }

    /// The line of a field, or of the nearest object around it.
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

/// Byte offsets at which lines start.
fn line_starts(text: &str) -> Vec<usize> {
    std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect()
}

struct DocumentReader {
    starts: Vec<usize>,
    document: JsonDocument,
}

impl DocumentReader {
    fn line(&self, byte: usize) -> usize {
        self.starts.partition_point(|start| *start <= byte)
    }

    fn read(&mut self, node: &AstValue<'_>, path: &FieldPath) -> Value {
        match node {
            AstValue::Object(object) => self.read_object(object, path),
            AstValue::Array(array) => {
                self.note(path, array.range.start);
                let elements = array.elements.iter().enumerate();
                elements.map(|(at, element)| self.read(element, &path.element(at))).collect()
            }
            AstValue::StringLit(text) => {
                self.note(path, text.range.start);
                Value::from(text.value.as_ref())
            }
            AstValue::NumberLit(number) => {
                self.note(path, number.range.start);
                // The parser has accepted the number; one beyond all types stays a text.
                number.value.parse().map_or_else(|_| Value::from(number.value), Value::Number)
            }
            AstValue::BooleanLit(flag) => {
                self.note(path, flag.range.start);
                Value::from(flag.value)
            }
            AstValue::NullKeyword(null) => {
                self.note(path, null.range.start);
                Value::Null
            }
        }
    }

    fn read_object(&mut self, object: &Object<'_>, path: &FieldPath) -> Value {
        self.note(path, object.range.start);
        let mut fields = Map::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let child = path.child(name);
            let value = self.read(&property.value, &child);
            let line = self.line(property.range.start);
            self.document.lines.insert(child.clone(), line);
            if fields.insert(name.to_owned(), value).is_some() {
                self.document.repeated.push((child, line));
            }
        }
        Value::Object(fields)
    }

    fn note(&mut self, path: &FieldPath, byte: usize) {
        let line = self.line(byte);
        self.document.lines.entry(path.clone()).or_insert(line);
    }
}
