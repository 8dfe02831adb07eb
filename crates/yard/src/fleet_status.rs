//! What the entries say about themselves.

use std::fmt::Write as _;
use std::sync::Arc;

use base::{LogOffset, TimeSpan, VmRecord, VmRole};
use config::UnusableFile;
use futures_util::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use web::fetch_json;

/// Entries that are asked at once.
const PARALLEL_REQUESTS: usize = 64;
/// Time that an entry gets to answer.
const ENTRY_LIMIT: TimeSpan = TimeSpan::seconds(3);

/// The answer of `GET /v1/status`, as far as it is used here.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct EntryAnswer {
    pub config_offset: LogOffset,
    #[serde(default)]
    pub leaving: bool,
    #[serde(default)]
    pub cut_off: bool,
    #[serde(default)]
    pub view_age_ms: u64,
    #[serde(default)]
    pub entries: u64,
    #[serde(default)]
    pub runners: u64,
    #[serde(default)]
    pub runners_leaving: u64,
    #[serde(default)]
    pub calls: u64,
    #[serde(default)]
    pub crowded: Vec<Arc<str>>,
    #[serde(default)]
    pub unusable_files: Option<Vec<UnusableFile>>,
}

/// One entry VM: what the platform says, and what it says itself.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct VmStatus {
    #[serde(flatten)]
    pub record: VmRecord,
    /// Its own answer.
    pub answer: Option<EntryAnswer>,
    /// Why there is none.
    pub error: Option<String>,
}

impl VmStatus {
    /// Whether the configuration up to `offset` is in force there.
    pub fn has_in_force(&self, offset: LogOffset) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer.config_offset >= offset)
    }

    /// Why the configuration up to some offset does not count as in force there.
    pub fn lag(&self) -> String {
        match (&self.answer, &self.error) {
            (Some(answer), _) => {
                let age = answer.view_age_ms;
                let mut lag = format!("in force up to {}, view {age} ms old", answer.config_offset);
                for file in answer.unusable_files.iter().flatten() {
                    let _ = write!(lag, "; cannot use {}: {}", file.path, file.reason);
                }
                lag
            }
            (None, error) => error.clone().unwrap_or_default(),
        }
    }
}

/// Asks all entries among `vms`.
pub(crate) async fn ask_entries(vms: impl Iterator<Item = &VmRecord>) -> Vec<VmStatus> {
    let entries = vms.filter(|vm| vm.role == VmRole::Entry).cloned();
    let asks = stream::iter(entries).map(ask_entry).buffer_unordered(PARALLEL_REQUESTS);
    let mut statuses: Vec<VmStatus> = asks.collect().await;
    statuses.sort_by(|a, b| a.record.vm.cmp(&b.record.vm));
    statuses
}

async fn ask_entry(record: VmRecord) -> VmStatus {
    let answer = fetch_json("status", record.address, "/v1/status", ENTRY_LIMIT).await;
    let (answer, error) = match answer {
        Ok(answer) => (Some(answer), None),
        Err(error) => (None, Some(error.to_string())),
    };
    VmStatus { record, answer, error }
}
