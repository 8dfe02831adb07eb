//! The life of a desk: it serves, freezes, and hands its table over.

use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::TableHandover;

/// One process that answers for a home's bookings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HomeAddress {
    /// Its start.
    pub incarnation: VmIncarnation,
    /// Its UDP address for peers.
    pub peer: SocketAddr,
}

/// Phase of a desk; it never goes back to serving.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum DeskPhase {
    /// New keys may be sent.
    Serving,
    /// A planned stop: no new sends; those in flight are drained.
    Frozen,
    /// The table was sent away: the adopter may run keys that this desk never saw, so
    /// this desk no longer says *not run*.
    HandingOver {
        /// The only adopter.
        adopter: HomeAddress,
        /// The table.
        handover: Arc<TableHandover>,
        /// When it is sent again.
        resend_at: TimePoint,
    },
    /// The adopter has confirmed.
    HandedOver {
        /// Who answers now.
        adopter: HomeAddress,
    },
}

impl DeskPhase {
    /// Who may answer for the desk's own keys besides it.
    #[must_use]
    pub fn adopter(&self) -> Option<HomeAddress> {
        match self {
            Self::Serving | Self::Frozen => None,
            Self::HandingOver { adopter, .. } | Self::HandedOver { adopter } => Some(*adopter),
        }
    }
}
