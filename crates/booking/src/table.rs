//! The bookings of a home, by key and by the end of their life.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use crate::{BookingEntry, BookingKey, BookingState, TicketId};

/// All entries, with the requests that wait for them.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(crate) struct BookingTable {
    entries: BTreeMap<BookingKey, BookingEntry>,
    ends: BTreeSet<(TimePoint, BookingKey)>,
    waiting: BTreeMap<TicketId, (TimePoint, BookingKey)>,
    deadlines: BTreeSet<(TimePoint, TicketId)>,
    in_flight: usize,
    stored_bytes: usize,
}

impl BookingTable {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight
    }

    pub(crate) fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    pub(crate) fn get(&self, key: &BookingKey) -> Option<&BookingEntry> {
        self.entries.get(key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&BookingKey, &BookingEntry)> {
        self.entries.iter()
    }

    pub(crate) fn insert(&mut self, key: BookingKey, entry: BookingEntry) {
        self.remove(&key);
        self.count(&entry.state, 1);
        self.ends.insert((entry.retain_until, key.clone()));
        self.entries.insert(key, entry);
    }

    /// Takes an entry out; its waiters are the caller's to answer.
    pub(crate) fn remove(&mut self, key: &BookingKey) -> Option<BookingEntry> {
        let entry = self.entries.remove(key)?;
        self.ends.remove(&(entry.retain_until, key.clone()));
        self.count(&entry.state, -1);
        for ticket in &entry.waiters {
            self.forget(*ticket);
        }
        Some(entry)
    }

    /// Changes what is known of a booking; gives the requests that waited for it.
    pub(crate) fn settle(&mut self, key: &BookingKey, state: &BookingState) -> Vec<TicketId> {
        let Some(entry) = self.entries.get_mut(key) else { return Vec::new() };
        let waiters = std::mem::take(&mut entry.waiters);
        let old = std::mem::replace(&mut entry.state, state.clone());
        self.count(&old, -1);
        self.count(state, 1);
        for ticket in &waiters {
            self.forget(*ticket);
        }
        waiters
    }

    pub(crate) fn join(&mut self, key: &BookingKey, ticket: TicketId, deadline: TimePoint) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.waiters.push(ticket);
            self.waiting.insert(ticket, (deadline, key.clone()));
            self.deadlines.insert((deadline, ticket));
        }
    }

    /// Ends a request's wait; the booking goes on.
    pub(crate) fn leave(&mut self, ticket: TicketId) {
        if let Some((_, key)) = self.forget(ticket)
            && let Some(entry) = self.entries.get_mut(&key)
        {
            entry.waiters.retain(|waiter| *waiter != ticket);
        }
    }

    /// Makes an entry live until `end` at least.
    pub(crate) fn extend(&mut self, key: &BookingKey, end: TimePoint) {
        if let Some(entry) = self.entries.get_mut(key)
            && entry.retain_until < end
        {
            self.ends.remove(&(entry.retain_until, key.clone()));
            entry.retain_until = end;
            self.ends.insert((end, key.clone()));
        }
    }

    /// The first entry whose life is over.
    pub(crate) fn ended(&self, now: TimePoint) -> Option<BookingKey> {
        self.ends.first().filter(|(end, _)| *end <= now).map(|(_, key)| key.clone())
    }

    /// The first request whose deadline has passed.
    pub(crate) fn overdue(&self, now: TimePoint) -> Option<TicketId> {
        self.deadlines.first().filter(|(deadline, _)| *deadline <= now).map(|(_, t)| *t)
    }

    /// When the next deadline passes or the next life ends.
    pub(crate) fn next_end(&self) -> Option<TimePoint> {
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        let end = self.ends.first().map(|(end, _)| *end);
        deadline.into_iter().chain(end).min()
    }

    fn forget(&mut self, ticket: TicketId) -> Option<(TimePoint, BookingKey)> {
        let waiter = self.waiting.remove(&ticket)?;
        self.deadlines.remove(&(waiter.0, ticket));
        Some(waiter)
    }

    fn count(&mut self, state: &BookingState, sign: isize) {
        let in_flight = isize::from(*state == BookingState::Sent);
        let stored_bytes = state.stored_bytes().cast_signed();
        self.in_flight = self.in_flight.saturating_add_signed(sign * in_flight);
        self.stored_bytes = self.stored_bytes.saturating_add_signed(sign * stored_bytes);
    }
}
