//! The share of the rate-limited weight store that one holder may use.

use base::prelude::*;

/// A token bucket of one token, as its next free instant (the generic cell rate
/// algorithm, ITU-T I.371).
///
/// The budget of all holders is divided by places: a holder of `held` of `places` places
/// spends that share of the rate. While two VMs both believe to hold a place, the rate
/// may be exceeded by that place's share; the store then answers 429 and engines retry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct LoadBudget {
    free_at: TimePoint,
}

impl LoadBudget {
    /// Takes one load if the share allows it now.
    pub fn take(&mut self, now: TimePoint, interval: TimeSpan, places: usize, held: usize) -> bool {
        if now < self.free_at || held == 0 {
            return false;
        }
        let share = interval.0.saturating_mul(places.max(held) as u64) / held as u64;
        self.free_at = now + TimeSpan(share);
        true
    }

    /// When the next load may start.
    #[must_use]
    pub fn free_at(&self) -> TimePoint {
        self.free_at
    }
}
