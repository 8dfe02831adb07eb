//! Checks of limits, collected.

use std::fmt::Display;

use crate::field_path::FieldPath;

/// Collects the fields that break a limit.
#[derive(Debug, Default)]
pub struct FieldCheck {
    pub(crate) faults: Vec<(FieldPath, String)>,
}

impl FieldCheck {
    /// Notes that the field at `path`, such as `calls[2].path`, breaks what is `expected`.
    pub fn add_violation(&mut self, path: &str, expected: impl Display) {
        self.faults.push((FieldPath::parse(path), expected.to_string()));
    }

    /// Notes a fault unless `holds`.
    pub fn require(&mut self, holds: bool, path: &str, expected: impl Display) {
        if !holds {
            self.add_violation(path, expected);
        }
    }

    /// Notes a fault unless `value` lies within both limits.
    pub fn require_range<T: PartialOrd + Display + Copy>(
        &mut self,
        value: T,
        path: &str,
        least: T,
        most: T,
    ) {
        let holds = value >= least && value <= most;
        self.require(holds, path, format_args!("a number from {least} to {most}"));
    }
}
