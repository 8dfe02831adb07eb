//! The sound binding and the broken ones.

use super::step::{apply, enabled};
use super::world::{ConfigBounds, ConfigWorld};
use crate::{ModelRun, explore};

const RACES: ConfigBounds =
    ConfigBounds { publishes: 3, checkpoints: 1, repeats: 1, expiries: 1, restarts: 0 };
const EXPIRY: ConfigBounds =
    ConfigBounds { publishes: 2, checkpoints: 2, repeats: 1, expiries: 3, restarts: 1 };

/// How the binding around the fold behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigVariant {
    /// Operators race and appends are repeated.
    Sound,
    /// Records expire, and a reader starts anew.
    SoundExpiry,
    /// A publish is taken whatever version it replaces.
    AnyBase,
    /// A reader starts from a checkpoint although later records have expired.
    GapAfterCheckpoint,
    /// A reader takes a peer's state whatever its offset.
    AnyPeerState,
}

impl ConfigVariant {
    /// All variants, the sound one first.
    pub const ALL: [Self; 5] = [
        Self::Sound,
        Self::SoundExpiry,
        Self::AnyBase,
        Self::GapAfterCheckpoint,
        Self::AnyPeerState,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound: races",
            Self::SoundExpiry => "sound: expiry and restart",
            Self::AnyBase => "stale base accepted",
            Self::GapAfterCheckpoint => "stale checkpoint accepted",
            Self::AnyPeerState => "lower state of a peer accepted",
        }
    }

    fn is_sound(self) -> bool {
        matches!(self, Self::Sound | Self::SoundExpiry)
    }

    fn bounds(self) -> ConfigBounds {
        match self {
            Self::SoundExpiry | Self::GapAfterCheckpoint => EXPIRY,
            _ => RACES,
        }
    }
}

/// Checks that every reader's state is that of the whole log up to its offset, by a
/// reference that knows only the rule for bases, and that no reader goes back.
#[must_use]
pub fn check_configs(variant: ConfigVariant) -> ModelRun {
    explore(
        "config",
        (variant.name(), !variant.is_sound()),
        ConfigWorld::new(variant.bounds()),
        enabled,
        |world, step| apply(world, step, variant),
        |world| world.violation,
    )
}
