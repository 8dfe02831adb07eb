//! Validation of decoded documents.

use std::fmt::Display;

use crate::field_path::FieldPath;

/// Collects the fields whose values violate a constraint.
#[derive(Debug, Default)]
pub struct FieldCheck {
    /// Path of each field, with a description of the accepted values.
    pub(crate) violations: Vec<(FieldPath, String)>,
}

impl FieldCheck {
    /// Records that the field at `path`, such as `calls[2].path`, is not as `expected`.
    pub fn add_violation(&mut self, path: &str, expected: impl Display) {
        self.violations.push((FieldPath::parse(path), expected.to_string()));
    }

    /// Records a violation unless `holds`.
    pub fn require(&mut self, holds: bool, path: &str, expected: impl Display) {
        if !holds {
            self.add_violation(path, expected);
        }
    }

    /// Records a violation unless `value` is between `min` and `max`, both inclusive.
    pub fn require_range<T: PartialOrd + Display + Copy>(
        &mut self,
        value: T,
        path: &str,
        min: T,
        max: T,
    ) {
        let holds = value >= min && value <= max;
        self.require(holds, path, format_args!("a number from {min} to {max}"));
    }
}
