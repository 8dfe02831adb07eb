//! Stream cursors: the signed resume positions sent as the `id` of each event.

use std::str::FromStr;

use base::{AttemptNumber, SigningKeys, join_fields, prelude::*, split_fields};

use crate::{RelayError, Result};

/// Signing purpose of cursors; a signature for another purpose does not verify.
const PURPOSE: &str = "cursor";

/// Version of the text format, written as its first field.
const FORMAT: &str = "c1";

/// Where a generation runs and how far its caller has read.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamCursor {
    /// The only workspace that may use the cursor.
    pub workspace: WorkspaceId,
    /// The service that serves the model.
    pub service: ServiceName,
    /// Name of the model.
    pub model: ModelName,
    /// The runner that has the attempt.
    pub runner: RunnerId,
    /// The generation that is streamed.
    pub generation: GenerationId,
    /// The attempt whose tokens were delivered.
    pub attempt: AttemptNumber,
    /// Index of the last delivered token.
    pub index: TokenIndex,
}

impl StreamCursor {
    /// Encodes and signs the cursor; the text fits on one line of a server-sent event.
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

    /// Verifies and decodes the text that a caller of `workspace` sent.
    ///
    /// # Errors
    /// [`RelayError`] if the signature or a field is invalid, or the cursor was issued to
    /// another workspace.
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
