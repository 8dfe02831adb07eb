//! The specification of the core protocols, checked by breadth-first reachability.
//!
//! Each model is a small world around the very structs that the product runs
//! ([`booking::BookingCoordinator`], [`relay::TokenRelay`], [`orders::OrderController`],
//! [`config::ConfigFold`], [`serving::AttemptTracker`], [`serving::StreamScanner`],
//! [`serving::EraView`], [`life::StreamLife`], [`life::RunPlaces`],
//! [`life::StopOrders`], [`life::decide_left_run`]): a few processes, a caller or a target, and a network that
//! loses, repeats, delays and reorders. All interleavings within the world's bounds are
//! visited. Each model has broken variants, in which the binding around the struct makes
//! a mistake that is easily made; the search must find a violation in each, or it proves
//! nothing about the sound one.

mod attempts;
mod bookings;
mod claims;
mod configs;
mod ends;
mod eras;
mod lefts;
mod lives;
mod moves;
mod search;
mod stopped;
mod streams;

pub use attempts::{AttemptVariant, check_attempts};
pub use bookings::{BookingVariant, check_bookings};
pub use claims::{ClaimVariant, check_claims};
pub use configs::{ConfigVariant, check_configs};
pub use ends::{EndVariant, check_ends};
pub use eras::{EraVariant, check_eras};
pub use lefts::{LeftVariant, check_lefts};
pub use lives::{LifeVariant, check_lives};
pub use moves::{MoveVariant, check_moves};
pub use search::{ModelRun, explore};
pub use stopped::{StoppedVariant, check_stopped};
pub use streams::{StreamKind, StreamVariant, check_streams};

/// All models: the sound ones, then their broken variants.
#[must_use]
pub fn check_all() -> Vec<ModelRun> {
    let mut runs = Vec::new();
    runs.extend(BookingVariant::ALL.map(check_bookings));
    runs.extend(StreamKind::ALL.map(|kind| check_streams(kind, StreamVariant::Sound)));
    runs.extend(StreamVariant::BROKEN.map(|(kind, variant)| check_streams(kind, variant)));
    runs.extend(ClaimVariant::ALL.map(check_claims));
    runs.extend(ConfigVariant::ALL.map(check_configs));
    runs.extend(AttemptVariant::ALL.map(check_attempts));
    runs.extend(MoveVariant::ALL.map(check_moves));
    runs.extend(EraVariant::ALL.map(check_eras));
    runs.extend(StoppedVariant::ALL.map(check_stopped));
    runs.extend(EndVariant::ALL.map(check_ends));
    runs.extend(LeftVariant::ALL.map(check_lefts));
    runs.extend(LifeVariant::SOUND.map(check_lives));
    runs.extend(LifeVariant::FAULTS.map(check_lives));
    runs.extend(LifeVariant::LATE_READS.map(check_lives));
    runs.extend(LifeVariant::EARLY_ENDS.map(check_lives));
    runs.extend(LifeVariant::FINDINGS.map(check_lives));
    runs
}
