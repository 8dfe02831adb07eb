//! The sound binding and the broken ones.

use super::step::{apply, enabled};
use super::world::{ClaimBounds, ClaimWorld};
use crate::{ModelRun, explore};

const TWO_VMS: ClaimBounds =
    ClaimBounds { vms: 2, appends: 2, deaths: 1, restarts: 0, expiries: 0, lists: 2 };
const TWO_VMS_EXPIRY: ClaimBounds =
    ClaimBounds { vms: 2, appends: 2, deaths: 0, restarts: 0, expiries: 1, lists: 2 };
const TWO_VMS_RESTART: ClaimBounds =
    ClaimBounds { vms: 2, appends: 2, deaths: 1, restarts: 1, expiries: 0, lists: 2 };

/// What the target and the binding around the controllers do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVariant {
    /// The target does not check fencing numbers; a VM vanishes.
    Sound,
    /// The same, and records expire.
    SoundExpiry,
    /// The same, and a process is replaced.
    SoundRestart,
    /// The target checks fencing numbers.
    SoundFenced,
    /// Targets that don't check are treated as if they did.
    TakenForFenced,
    /// A VM list counts as of its arrival, not as of its request.
    ListOfAnyAge,
    /// A VM claims before it sees itself in the VM list.
    ClaimsUnlisted,
    /// The retained claims are taken for the whole history.
    ExpiredIsWhole,
}

impl ClaimVariant {
    /// All variants, the sound ones first.
    pub const ALL: [Self; 8] = [
        Self::Sound,
        Self::SoundExpiry,
        Self::SoundRestart,
        Self::SoundFenced,
        Self::TakenForFenced,
        Self::ListOfAnyAge,
        Self::ClaimsUnlisted,
        Self::ExpiredIsWhole,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound: unchecked, two VMs",
            Self::SoundExpiry => "sound: unchecked, expiry",
            Self::SoundRestart => "sound: unchecked, restart",
            Self::SoundFenced => "sound: checked, two VMs",
            Self::TakenForFenced => "unchecked target taken for checked",
            Self::ListOfAnyAge => "VM list older than the claim",
            Self::ClaimsUnlisted => "claim before being listed",
            Self::ExpiredIsWhole => "expired history taken for whole",
        }
    }

    fn is_sound(self) -> bool {
        use ClaimVariant::{Sound, SoundExpiry, SoundFenced, SoundRestart};
        matches!(self, Sound | SoundExpiry | SoundRestart | SoundFenced)
    }

    fn bounds(self) -> ClaimBounds {
        match self {
            Self::SoundExpiry | Self::ExpiredIsWhole => TWO_VMS_EXPIRY,
            Self::SoundRestart => TWO_VMS_RESTART,
            _ => TWO_VMS,
        }
    }

    /// Whether the target refuses old numbers.
    pub(super) fn is_checked(self) -> bool {
        self == Self::SoundFenced
    }
}

/// Checks that no target takes an order of an earlier holder after one of a later holder.
#[must_use]
pub fn check_claims(variant: ClaimVariant) -> ModelRun {
    explore(
        "orders",
        (variant.name(), !variant.is_sound()),
        ClaimWorld::new(variant.bounds(), variant),
        enabled,
        |world, step| apply(world, step, variant),
        |world| world.violation,
    )
}
