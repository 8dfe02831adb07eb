//! Paths of fields in a JSON document.

use std::fmt;

use serde_json::Value;

/// One step of a path.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PathStep {
    /// A field of an object.
    Key(String),
    /// An element of an array.
    Index(usize),
}

/// A path from the root of a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct FieldPath(pub Vec<PathStep>);

impl FieldPath {
    /// Parses the form that `Display` writes, such as `keys.signing[0].id`.
    pub fn parse(text: &str) -> Self {
        let mut steps = Vec::new();
        for part in text.split('.').filter(|part| !part.is_empty()) {
            let (name, indices) = part.split_once('[').unwrap_or((part, ""));
            if !name.is_empty() {
                steps.push(PathStep::Key(name.to_owned()));
            }
            let indices =
                indices.split('[').filter_map(|text| text.trim_end_matches(']').parse().ok());
            steps.extend(indices.map(PathStep::Index));
        }
        Self(steps)
    }

    /// Appends the field `name`.
    pub fn child(&self, name: &str) -> Self {
        let mut path = self.clone();
        path.0.push(PathStep::Key(name.to_owned()));
        path
    }

    /// Appends the array element `index`.
    pub fn element(&self, index: usize) -> Self {
        let mut path = self.clone();
        path.0.push(PathStep::Index(index));
        path
    }

    /// The path without its last step. `None` for the root.
    pub fn parent(&self) -> Option<Self> {
        let (_, front) = self.0.split_last()?;
        Some(Self(front.to_vec()))
    }

    /// The name in the last step. `None` if that step is an index, or for the root.
    pub fn last_key(&self) -> Option<&str> {
        match self.0.last() {
            Some(PathStep::Key(name)) => Some(name),
            _ => None,
        }
    }

    /// The value at this path.
    pub fn get<'a>(&self, root: &'a Value) -> Option<&'a Value> {
        self.0.iter().try_fold(root, |value, step| match step {
            PathStep::Key(name) => value.get(name),
            PathStep::Index(index) => value.get(index),
        })
    }

    /// The value at this path, mutable.
    pub fn get_mut<'a>(&self, root: &'a mut Value) -> Option<&'a mut Value> {
        self.0.iter().try_fold(root, |value, step| match step {
            PathStep::Key(name) => value.get_mut(name),
            PathStep::Index(index) => value.get_mut(index),
        })
    }

    /// Replaces every index by 0, since the arrays of an example have a single element.
    pub fn with_first_elements(&self) -> Self {
        let first = |step: &PathStep| match step {
            PathStep::Key(name) => PathStep::Key(name.clone()),
            PathStep::Index(_) => PathStep::Index(0),
        };
        Self(self.0.iter().map(first).collect())
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, step) in self.0.iter().enumerate() {
            match step {
                PathStep::Key(name) if at == 0 => f.write_str(name)?,
                PathStep::Key(name) => write!(f, ".{name}")?,
                PathStep::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}
