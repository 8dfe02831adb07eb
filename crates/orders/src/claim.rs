//! Records of the stream `orders`.

use std::collections::BTreeSet;

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{OrderError, Result};

/// Record format that this release writes, and the only one that it reads.
const VERSION: u32 = 1;

/// A record by which a VM becomes the holder of a place, or renews its claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderClaim {
    /// Version of the record format.
    pub version: u32,
    /// Failure domain whose runners the holder sends orders to.
    pub place: PlaceName,
    /// VM of the claimant.
    pub vm: VmId,
    /// Process start of the claimant.
    pub incarnation: VmIncarnation,
    /// Offset of the last record that the claimant had read.
    pub seen: LogOffset,
    /// VMs of earlier claimants that may still exist and send orders.
    pub earlier: BTreeSet<VmId>,
}

impl OrderClaim {
    /// Creates a claim in the current format.
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

    /// Encodes the claim as the text of a record.
    ///
    /// # Panics
    /// Never: all fields of a claim can be represented in JSON.
    #[must_use]
    pub fn encode(&self) -> Arc<str> {
        serde_json::to_string(self).expect("claim fields are representable in JSON").into()
    }

    /// Decodes the text of the record at `offset`.
    ///
    /// # Errors
    /// [`OrderError`] if the text is not a claim of a supported version.
    pub fn decode(offset: LogOffset, text: &str) -> Result<Self> {
        let claim: Self = serde_json::from_str(text)
            .map_err(|source| OrderError::Malformed { offset, source })?;
        if claim.version != VERSION {
            return Err(OrderError::UnsupportedVersion { offset, version: claim.version });
        }
        Ok(claim)
    }
}
