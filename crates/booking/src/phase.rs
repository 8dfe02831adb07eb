//! Phases of a coordinator, from serving to the handover of its table.

use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::TableHandover;

/// Address of a process that answers for a home's bookings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HomeAddress {
    /// Incarnation of the process.
    pub incarnation: VmIncarnation,
    /// UDP address at which peers reach the process.
    pub peer: SocketAddr,
}

/// Phase of a [`crate::BookingCoordinator`]. It never returns to `Serving`.
///
/// The state dump shows the phase by its variant name.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum CoordinatorPhase {
    /// Bookings with new keys are sent.
    Serving,
    /// The process is stopping: nothing new is sent, and sends in flight are awaited.
    Frozen,
    /// The table was sent to the adopter, which may now run keys that this process has never
    /// seen. This process therefore no longer reports an unseen key as *not run*.
    HandingOver {
        /// The only process that may adopt the table.
        adopter: HomeAddress,
        /// The table, for retransmission.
        handover: Arc<TableHandover>,
        /// Time of the next retransmission.
        resend_at: TimePoint,
    },
    /// The adopter has confirmed that it adopted the table.
    HandedOver {
        /// The process that answers now.
        adopter: HomeAddress,
    },
}

impl CoordinatorPhase {
    /// The process that may have adopted the table, if it was sent to one.
    #[must_use]
    pub fn adopter(&self) -> Option<HomeAddress> {
        match self {
            Self::Serving | Self::Frozen => None,
            Self::HandingOver { adopter, .. } | Self::HandedOver { adopter } => Some(*adopter),
        }
    }
}
