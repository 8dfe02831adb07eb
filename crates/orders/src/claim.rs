//! Records of the stream `orders`.

use std::collections::BTreeSet;

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{OrderError, Result};

/// Format of the records that this release writes.
const VERSION: u32 = 1;

/// A VM takes or renews the orders of a place.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderClaim {
    /// Format of the record.
    pub version: u32,
    /// The failure domain whose runners it is about.
    pub place: PlaceName,
    /// The claimant's machine.
    pub vm: VmId,
    /// The claimant's start.
    pub incarnation: VmIncarnation,
    /// The last record that the claimant had read.
    pub seen: LogOffset,
    /// Machines of earlier claimants that may still wake.
    pub earlier: BTreeSet<VmId>,
}

impl OrderClaim {
    /// A claim in the present format.
    #[must_use]
    pub fn new(
        place: PlaceName,
        vm: VmId,
        incarnation: VmIncarnation,
        seen: LogOffset,
        earlier: BTreeSet<VmId>,
    ) -> Self {
        Self { version: VERSION, place, vm, incarnation, seen, earlier }
    }

    /// The text of its record.
    ///
    /// # Panics
    /// Never: a claim is always valid JSON.
    #[must_use]
    pub fn encode(&self) -> Arc<str> {
        serde_json::to_string(self).expect("a claim is valid JSON").into()
    }

    /// Reads a record.
    ///
    /// # Errors
    /// [`OrderError`] if it is not a claim of a known version.
    pub fn decode(offset: LogOffset, text: &str) -> Result<Self> {
        let claim: Self = serde_json::from_str(text)
            .map_err(|source| OrderError::Malformed { offset, source })?;
        if claim.version != VERSION {
            return Err(OrderError::UnsupportedVersion { offset, version: claim.version });
        }
        Ok(claim)
    }
}
