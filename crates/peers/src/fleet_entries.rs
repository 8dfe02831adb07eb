//! The steward's view: the entries of its own machine.

use base::prelude::*;

use crate::{EntryStatus, FleetDesk};

/// Silence of a local entry after which it is taken for dead.
pub const ENTRY_SILENCE: TimeSpan = TimeSpan::seconds(3);
/// Least change of an entry's calls that is told, in calls.
const CALLS_STEP: u32 = 4;
/// Least change of an entry's calls that is told, as a part of its calls: one eighth.
const CALLS_SHARE: u32 = 8;
/// What an entry says about itself that moves all the time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EntryFigures {
    calls: u32,
    config_offset: LogOffset,
}

impl FleetDesk {
    /// Takes what an entry of this machine says about itself.
    pub fn on_entry(&mut self, now: TimePoint, status: &EntryStatus) {
        self.entry_heard.insert(status.incarnation, now);
        let figures = EntryFigures { calls: status.calls, config_offset: status.config_offset };
        self.entry_figures.insert(status.incarnation, figures);
        let known = self.me.entries.iter_mut().find(|entry| entry.address == status.address);
        let Some(known) = known else {
            self.me.entries.push(status.clone());
            self.urgent = true;
            return self.change_me();
        };
        let (calls, config_offset) = (known.calls, known.config_offset);
        let mut status = EntryStatus { calls, config_offset, ..status.clone() };
        // A late word of the same start does not take its leaving back.
        status.leaving |= known.leaving && known.incarnation == status.incarnation;
        if *known != status {
            self.urgent |= status.leaving && !known.leaving;
            *known = status;
            self.change_me();
        }
    }

    /// Brings the entries' figures into the own record where they moved enough to matter.
    pub(crate) fn refresh_figures(&mut self) {
        let mut moved = false;
        for entry in &mut self.me.entries {
            let Some(figures) = self.entry_figures.get(&entry.incarnation) else { continue };
            let step = CALLS_STEP + entry.calls / CALLS_SHARE;
            let idle = figures.calls == 0 && entry.calls > 0;
            let calls_moved = idle || figures.calls.abs_diff(entry.calls) >= step;
            if calls_moved || figures.config_offset != entry.config_offset {
                entry.calls = figures.calls;
                entry.config_offset = figures.config_offset;
                moved = true;
            }
        }
        if moved {
            // Direct peers hear it; it is no news to pass on, so the sequence stays.
            self.change_entries();
            self.me_change = self.change;
        }
    }

    pub(crate) fn drop_silent_entries(&mut self, now: TimePoint) {
        let heard = &mut self.entry_heard;
        let before = self.me.entries.len();
        self.me.entries.retain(|entry| {
            heard.get(&entry.incarnation).is_some_and(|at| now.since(*at) < ENTRY_SILENCE)
        });
        if self.me.entries.len() != before {
            heard.retain(|_, at| now.since(*at) < ENTRY_SILENCE);
            self.entry_figures.retain(|incarnation, _| heard.contains_key(incarnation));
            self.urgent = true;
            self.change_me();
        }
    }
}
