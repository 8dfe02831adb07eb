//! Planned stops: the right to run a home's bookings moves once, to one adopter.

use base::prelude::*;

use crate::{
    BookingAction, BookingCoordinator, BookingEntry, BookingHandover, BookingKey, BookingState,
    CoordinatorPhase, HomeAddress, HomeClock, SendNumber, TableHandover,
};

/// Send number of adopted entries, which another process sent. The numbers of this process
/// start at 1, so no event of its own sends matches.
const ADOPTED_SEND: SendNumber = SendNumber(0);

impl BookingCoordinator {
    pub(crate) fn freeze(&mut self) {
        if self.phase == CoordinatorPhase::Serving {
            self.phase = CoordinatorPhase::Frozen;
        }
    }

    /// Starts the handover. From now on, unless the adopter refuses, this process never reports
    /// an unknown key as *not run*: the adopter may have run it, whether or not its
    /// confirmation arrives.
    pub(crate) fn start_handover(
        &mut self,
        now: TimePoint,
        adopter: HomeAddress,
    ) -> Vec<BookingAction> {
        if self.phase != CoordinatorPhase::Frozen || adopter.incarnation == self.address.incarnation
        {
            return Vec::new();
        }
        let handover = Arc::new(self.export_table(now, adopter.incarnation));
        let resend_at = now + self.limits.handover_retry_interval;
        self.phase =
            CoordinatorPhase::HandingOver { adopter, handover: handover.clone(), resend_at };
        vec![BookingAction::SendHandover { adopter, handover }]
    }

    pub(crate) fn resend_handover(&mut self, now: TimePoint) -> Option<BookingAction> {
        let CoordinatorPhase::HandingOver { adopter, handover, resend_at } = &mut self.phase else {
            return None;
        };
        if now < *resend_at {
            return None;
        }
        *resend_at = now + self.limits.handover_retry_interval;
        Some(BookingAction::SendHandover { adopter: *adopter, handover: handover.clone() })
    }

    pub(crate) fn handover_accepted(&mut self, by: VmIncarnation) {
        if let Some(adopter) = self.pending_adopter(by) {
            self.phase = CoordinatorPhase::HandedOver { adopter };
        }
    }

    /// Returns to `Frozen`: the adopter, itself stopping, never adopts the table, so another
    /// may be chosen.
    pub(crate) fn handover_refused(&mut self, by: VmIncarnation) {
        if self.pending_adopter(by).is_some() {
            self.phase = CoordinatorPhase::Frozen;
        }
    }

    fn pending_adopter(&self, by: VmIncarnation) -> Option<HomeAddress> {
        match &self.phase {
            CoordinatorPhase::HandingOver { adopter, .. } if adopter.incarnation == by => {
                Some(*adopter)
            }
            _ => None,
        }
    }

    /// Adopts a table once: importing a repeated handover would undo what was run since. A
    /// table that is meant for another process gets no answer.
    pub(crate) fn adopt(
        &mut self,
        now: TimePoint,
        handover: TableHandover,
    ) -> Option<BookingAction> {
        let home = handover.from;
        if handover.to != self.address.incarnation {
            self.counters.stale += 1;
            return None;
        }
        let accepted = self.homes.contains_key(&home) || self.phase == CoordinatorPhase::Serving;
        if !self.homes.contains_key(&home) && accepted {
            self.import_table(now, handover);
        }
        Some(BookingAction::AnswerHandover { home, accepted })
    }

    fn import_table(&mut self, now: TimePoint, handover: TableHandover) {
        for (incarnation, home_time) in handover.homes {
            self.homes.insert(incarnation, HomeClock { home_time, local_time: now });
            self.adopters.remove(&incarnation);
        }
        for entry in handover.entries {
            self.counters.adopted += 1;
            self.table.insert(entry.key.clone(), import_entry(now, entry));
        }
    }

    fn export_table(&self, now: TimePoint, to: VmIncarnation) -> TableHandover {
        let homes = self.homes.iter().map(|(home, clock)| (*home, clock.home_time_of(now)));
        let entries = self.table.iter().map(|(key, entry)| export_entry(now, key, entry));
        TableHandover {
            from: self.address.incarnation,
            to,
            homes: homes.collect(),
            entries: entries.collect(),
        }
    }
}

/// Exports an entry. The adopter cannot learn the result of a send that is still in
/// progress, so such an entry is exported as unknown.
fn export_entry(now: TimePoint, key: &BookingKey, entry: &BookingEntry) -> BookingHandover {
    let state = match &entry.state {
        BookingState::Sent => BookingState::Unknown,
        known => known.clone(),
    };
    BookingHandover {
        key: key.clone(),
        fingerprint: entry.fingerprint,
        state,
        retention: entry.retain_until.since(now),
    }
}

fn import_entry(now: TimePoint, entry: BookingHandover) -> BookingEntry {
    BookingEntry {
        fingerprint: entry.fingerprint,
        state: entry.state,
        send: ADOPTED_SEND,
        not_run_status: 0,
        waiters: Vec::new(),
        retain_until: now + entry.retention,
    }
}
