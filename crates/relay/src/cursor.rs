//! Stream cursors: the `id` of each event that a caller gets.

use std::str::FromStr;

use base::{AttemptNumber, SigningKeys, join_fields, prelude::*, split_fields};

use crate::{RelayError, Result};

/// Purpose under which cursors are signed.
const PURPOSE: &str = "cursor";

/// First field of the text form; changes with the format.
const FORMAT: &str = "c1";

/// The place of a generation and how far its caller has read.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamCursor {
    /// The only workspace that may use it.
    pub workspace: WorkspaceId,
    /// The service that serves the model.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// The engine that has the attempt.
    pub runner: RunnerId,
    /// The generation.
    pub generation: GenerationId,
    /// The attempt whose tokens are delivered.
    pub attempt: AttemptNumber,
    /// The last token delivered.
    pub index: TokenIndex,
}

impl StreamCursor {
    /// The signed text, which fits into a line of a server-sent event.
    #[must_use]
    pub fn encode(&self, keys: &SigningKeys) -> String {
        let payload = join_fields(&[
            FORMAT,
            &self.generation.to_string(),
            &self.attempt.to_string(),
            &self.index.to_string(),
            self.runner.as_str(),
            self.service.as_str(),
            self.model.as_str(),
            self.workspace.as_str(),
        ]);
        keys.sign(PURPOSE, &payload)
    }

    /// Reads a signed text that a caller of `workspace` presents.
    ///
    /// # Errors
    /// [`RelayError`] if the signature, a field or the workspace is wrong.
    pub fn decode(keys: &SigningKeys, workspace: &WorkspaceId, text: &str) -> Result<Self> {
        let payload = keys.verify(PURPOSE, text)?;
        let [format, generation, attempt, index, runner, service, model, owner] =
            split_fields(payload).ok_or(RelayError::Malformed { field: "count" })?;
        if format != FORMAT {
            return Err(RelayError::Malformed { field: "format" });
        }
        let cursor = Self {
            workspace: parse("workspace", &owner)?,
            service: parse("service", &service)?,
            model: parse("model", &model)?,
            runner: parse("runner", &runner)?,
            generation: parse("generation", &generation)?,
            attempt: parse("attempt", &attempt)?,
            index: parse("index", &index)?,
        };
        if cursor.workspace != *workspace {
            return Err(RelayError::WorkspaceMismatch);
        }
        Ok(cursor)
    }
}

fn parse<T: FromStr>(field: &'static str, text: &str) -> Result<T> {
    text.parse().map_err(|_| RelayError::Malformed { field })
}
