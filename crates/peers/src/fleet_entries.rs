//! The steward's view: the entries of its own machine.

use base::prelude::*;

use crate::{EntryStatus, FleetDesk};

/// Silence of a local entry after which it counts as dead.
pub const ENTRY_SILENCE: TimeSpan = TimeSpan::seconds(3);
/// Smallest change of an entry's calls that is sent to peers, in calls.
const CALLS_STEP: u32 = 4;
/// Divisor of an entry's calls: a change under one eighth of them is not sent.
const CALLS_SHARE: u32 = 8;

/// The fields of an entry's status that change all the time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EntryFigures {
    calls: u32,
    config_offset: LogOffset,
}

impl FleetDesk {
    /// Applies the status of an entry of this machine.
    pub fn on_entry(&mut self, now: TimePoint, status: &EntryStatus) {
        self.entry_last_heard.insert(status.incarnation, now);
        let figures = EntryFigures { calls: status.calls, config_offset: status.config_offset };
        self.entry_figures.insert(status.incarnation, figures);
        let known =
            self.own_record.entries.iter_mut().find(|entry| entry.address == status.address);
        let Some(known) = known else {
            self.own_record.entries.push(status.clone());
            self.urgent = true;
            return self.change_own_record();
        };
        let (calls, config_offset) = (known.calls, known.config_offset);
        let mut status = EntryStatus { calls, config_offset, ..status.clone() };
        // An incarnation that is leaving stays so, also if an older status arrives late.
        status.leaving |= known.leaving && known.incarnation == status.incarnation;
        if *known != status {
            self.urgent |= status.leaving && !known.leaving;
            *known = status;
            self.change_own_record();
        }
    }

    /// Copies the entries' figures into the own record where they changed enough to be sent.
    pub(crate) fn refresh_figures(&mut self) {
        let mut moved = false;
        for entry in &mut self.own_record.entries {
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
            // Direct peers get the figures, but do not relay them: the sequence stays.
            self.change_entries();
            self.own_record_change = self.change;
        }
    }

    /// Removes entries that have been silent for [`ENTRY_SILENCE`].
    pub(crate) fn drop_silent_entries(&mut self, now: TimePoint) {
        let heard = &mut self.entry_last_heard;
        let before = self.own_record.entries.len();
        self.own_record.entries.retain(|entry| {
            heard.get(&entry.incarnation).is_some_and(|at| now.since(*at) < ENTRY_SILENCE)
        });
        if self.own_record.entries.len() != before {
            heard.retain(|_, at| now.since(*at) < ENTRY_SILENCE);
            self.entry_figures.retain(|incarnation, _| heard.contains_key(incarnation));
            self.urgent = true;
            self.change_own_record();
        }
    }
}
