//! Two readers, the log, and what is on its way to it.

use std::collections::BTreeSet;

use base::{PublishId, prelude::*};
use config::{CheckpointRecord, ConfigFold, ConfigRecord, FileChange, PublishRecord};

/// How much may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct ConfigBounds {
    pub(super) publishes: u64,
    pub(super) checkpoints: u32,
    /// Records whose append takes effect twice, since its answer was lost.
    pub(super) repeats: u32,
    pub(super) expiries: u32,
    pub(super) restarts: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct ConfigWorld {
    pub(super) left: ConfigBounds,
    pub(super) readers: [ConfigFold; 2],
    /// All records ever appended; the first `expired` ones are gone.
    pub(super) records: Vec<Arc<str>>,
    pub(super) expired: usize,
    pub(super) wire: BTreeSet<Arc<str>>,
    pub(super) violation: Option<&'static str>,
}

/// The one file.
const PATH: &str = "counter.service.jsonc";

impl ConfigWorld {
    pub(super) fn new(bounds: ConfigBounds) -> Self {
        Self {
            left: bounds,
            readers: [ConfigFold::new(), ConfigFold::new()],
            records: Vec::new(),
            expired: 0,
            wire: BTreeSet::new(),
            violation: None,
        }
    }

    /// The operator at a reader replaces the version in force there.
    pub(super) fn publish(&mut self, reader: usize) {
        let id = PublishId(self.left.publishes);
        self.left.publishes -= 1;
        let base = self.readers[reader].state().version(PATH);
        // The last publish of the model removes the file.
        let text = (id.0 > 1).then(|| Arc::from(id.to_string()));
        let change = FileChange { path: Arc::from(PATH), base, text };
        let record = PublishRecord {
            id,
            author: Arc::from("shift"),
            note: Arc::from(""),
            files: vec![change],
        };
        self.wire.insert(ConfigRecord::Publish(record).encode());
    }

    pub(super) fn checkpoint(&mut self, reader: usize) {
        self.left.checkpoints -= 1;
        let state = self.readers[reader].state().as_ref().clone();
        self.wire.insert(ConfigRecord::Checkpoint(CheckpointRecord { state }).encode());
    }

    pub(super) fn first(&self) -> LogOffset {
        LogOffset(self.expired as u64 + 1)
    }

    pub(super) fn record(&self, offset: LogOffset) -> Option<&Arc<str>> {
        (offset >= self.first()).then(|| self.records.get(offset.0 as usize - 1))?
    }

    /// Retained checkpoints with their offsets.
    pub(super) fn checkpoints(&self) -> Vec<(LogOffset, CheckpointRecord)> {
        let retained = self.records.iter().enumerate().skip(self.expired);
        let checkpoint = |(at, text): (usize, &Arc<str>)| match ConfigRecord::decode(text) {
            Ok(ConfigRecord::Checkpoint(record)) => Some((LogOffset(at as u64 + 1), record)),
            _ => None,
        };
        retained.filter_map(checkpoint).collect()
    }

    /// The version and content in force at `offset`, by the rule for bases alone.
    fn reference(&self, offset: LogOffset) -> (LogOffset, Option<Arc<str>>) {
        let mut version = LogOffset(0);
        let mut content = None;
        for (at, text) in self.records.iter().take(offset.0 as usize).enumerate() {
            if let Ok(ConfigRecord::Publish(publish)) = ConfigRecord::decode(text)
                && publish.files[0].base == version
            {
                version = LogOffset(at as u64 + 1);
                content.clone_from(&publish.files[0].text);
            }
        }
        (version, content)
    }

    pub(super) fn check(&mut self, before: &[ConfigFold; 2], restarted: Option<usize>) {
        for (number, reader) in self.readers.iter().enumerate() {
            if reader.offset() < before[number].offset() && restarted != Some(number) {
                self.violation = Some("a reader went back");
            }
            let state = reader.state();
            let content = state.files.get(PATH).map(|file| file.text.clone());
            if (state.version(PATH), content) != self.reference(reader.offset()) {
                self.violation = Some("a reader's state is not that of the log");
            }
        }
    }
}
