//! Rate limit for loads from the weight store.

use base::prelude::*;

/// A token bucket with a capacity of one token, represented by the time at which the next
/// token is available (the generic cell rate algorithm, ITU-T I.371).
///
/// The weight store limits the rate of all holders together. Each place has an equal share
/// of that rate, and a holder of `held` of `places` places uses the shares of its places.
/// While two VMs both act as holder of a place, the total may exceed the rate by that
/// place's share; the store then answers 429 and the engines retry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct LoadBudget {
    free_at: TimePoint,
}

impl LoadBudget {
    /// Consumes a token and returns true if a load may start now.
    pub fn take(&mut self, now: TimePoint, interval: TimeSpan, places: usize, held: usize) -> bool {
        if now < self.free_at || held == 0 {
            return false;
        }
        let share = interval.0.saturating_mul(places.max(held) as u64) / held as u64;
        self.free_at = now + TimeSpan(share);
        true
    }

    /// Time at which the next load may start.
    #[must_use]
    pub fn free_at(&self) -> TimePoint {
        self.free_at
    }
}
