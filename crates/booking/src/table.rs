//! Table of a home's bookings, indexed by key, retention and waiting requests.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use crate::{BookingEntry, BookingKey, BookingState, TicketId};

/// All bookings, and the requests that wait for them.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(crate) struct BookingTable {
    entries: BTreeMap<BookingKey, BookingEntry>,
    /// Keys ordered by the end of their retention.
    expiries: BTreeSet<(TimePoint, BookingKey)>,
    /// Deadline and key of each waiting request.
    waiting: BTreeMap<TicketId, (TimePoint, BookingKey)>,
    /// Waiting requests ordered by their deadline.
    deadlines: BTreeSet<(TimePoint, TicketId)>,
    /// Number of bookings in the state `Sent`.
    in_flight: usize,
    /// Total size of the stored answers.
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
        self.update_totals(&entry.state, 1);
        self.expiries.insert((entry.retain_until, key.clone()));
        self.entries.insert(key, entry);
    }

    /// Removes an entry. The caller must reply to its waiters.
    pub(crate) fn remove(&mut self, key: &BookingKey) -> Option<BookingEntry> {
        let entry = self.entries.remove(key)?;
        self.expiries.remove(&(entry.retain_until, key.clone()));
        self.update_totals(&entry.state, -1);
        for ticket in &entry.waiters {
            self.unlink_waiter(*ticket);
        }
        Some(entry)
    }

    /// Sets the state of a booking and returns the requests that waited for it. The caller must
    /// reply to them.
    pub(crate) fn set_state(&mut self, key: &BookingKey, state: &BookingState) -> Vec<TicketId> {
        let Some(entry) = self.entries.get_mut(key) else { return Vec::new() };
        let waiters = std::mem::take(&mut entry.waiters);
        let old = std::mem::replace(&mut entry.state, state.clone());
        self.update_totals(&old, -1);
        self.update_totals(state, 1);
        for ticket in &waiters {
            self.unlink_waiter(*ticket);
        }
        waiters
    }

    pub(crate) fn add_waiter(&mut self, key: &BookingKey, ticket: TicketId, deadline: TimePoint) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.waiters.push(ticket);
            self.waiting.insert(ticket, (deadline, key.clone()));
            self.deadlines.insert((deadline, ticket));
        }
    }

    /// Removes a waiting request; its booking continues.
    pub(crate) fn remove_waiter(&mut self, ticket: TicketId) {
        if let Some((_, key)) = self.unlink_waiter(ticket)
            && let Some(entry) = self.entries.get_mut(&key)
        {
            entry.waiters.retain(|waiter| *waiter != ticket);
        }
    }

    /// Retains an entry at least until `until`.
    pub(crate) fn extend_retention(&mut self, key: &BookingKey, until: TimePoint) {
        if let Some(entry) = self.entries.get_mut(key)
            && entry.retain_until < until
        {
            self.expiries.remove(&(entry.retain_until, key.clone()));
            entry.retain_until = until;
            self.expiries.insert((until, key.clone()));
        }
    }

    /// The entry whose retention ended first, if any has ended.
    pub(crate) fn first_expired(&self, now: TimePoint) -> Option<BookingKey> {
        self.expiries.first().filter(|(end, _)| *end <= now).map(|(_, key)| key.clone())
    }

    /// The waiting request whose deadline passed first, if any has passed.
    pub(crate) fn first_overdue(&self, now: TimePoint) -> Option<TicketId> {
        self.deadlines.first().filter(|(deadline, _)| *deadline <= now).map(|(_, t)| *t)
    }

    /// Time at which the next deadline passes or the next retention ends.
    pub(crate) fn next_expiry(&self) -> Option<TimePoint> {
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        let end = self.expiries.first().map(|(end, _)| *end);
        deadline.into_iter().chain(end).min()
    }

    fn unlink_waiter(&mut self, ticket: TicketId) -> Option<(TimePoint, BookingKey)> {
        let waiter = self.waiting.remove(&ticket)?;
        self.deadlines.remove(&(waiter.0, ticket));
        Some(waiter)
    }

    fn update_totals(&mut self, state: &BookingState, sign: isize) {
        let in_flight = isize::from(*state == BookingState::Sent);
        let stored_bytes = state.stored_bytes().cast_signed();
        self.in_flight = self.in_flight.saturating_add_signed(sign * in_flight);
        self.stored_bytes = self.stored_bytes.saturating_add_signed(sign * stored_bytes);
    }
}
