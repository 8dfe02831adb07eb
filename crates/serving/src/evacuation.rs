//! Places that the operator has evacuated: no request may be sent to their runners.
//!
//! Load pattern: an operator evacuates a place within seconds, while the store turns single nodes
//! away or has come back from a copy that lacks the instruction. A node learns of it from the
//! store or from any other node, and nothing older than what it knows undoes it.

use std::collections::BTreeMap;

use base::prelude::*;
use route::RouteMember;
use serde::{Deserialize, Serialize};

use crate::StoreCursor;

/// Time after a return of the store in which an evacuation that its copy lacks stays in force: an
/// operator writes what was lost again within that time.
const REWRITE_TIMEOUT: TimeSpan = TimeSpan::seconds(5);
/// Time after which what other nodes have stated is taken for complete: the longest interval
/// between two heartbeats of a node.
const HEAR_TIMEOUT: TimeSpan = TimeSpan::seconds(1);
/// Maximum size of the statements in one update, in bytes; with its header an update fits into a
/// section of a heartbeat.
const MAX_UPDATE_BYTES: usize = 3_500;
/// Upper bound of the size of a statement without the name of its place, in bytes: two numbers of
/// up to ten bytes, a flag, and the length of the name.
const STATEMENT_BYTES: usize = 24;
/// Maximum number of withdrawn places that are remembered.
const MAX_WITHDRAWN: usize = 32;

/// Whether a place is evacuated, as of a position in the store's topic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationStatement {
    /// The place.
    pub place: PlaceName,
    /// Whether it is evacuated.
    pub evacuated: bool,
    /// The end of the records that the statement follows from.
    pub version: StoreCursor,
}

/// What a node states about evacuations to others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationUpdate {
    /// Where the records end that the statements cover completely: a place that is evacuated by an
    /// earlier record of the same era is among them. `None` if some are missing.
    pub read: Option<StoreCursor>,
    /// The statements.
    pub statements: Vec<EvacuationStatement>,
}

#[derive(Debug, Clone, Copy)]
struct PlaceState {
    evacuated: bool,
    version: StoreCursor,
}

impl PlaceState {
    /// Of two statements as of the same position, the one that evacuates takes precedence: a list
    /// may already show a record behind its end.
    fn precedence(&self) -> (StoreCursor, bool) {
        (self.version, self.evacuated)
    }
}

/// The evacuated places, and those withdrawn lately.
#[derive(Debug, Default)]
pub struct EvacuationTable {
    places: BTreeMap<PlaceName, PlaceState>,
    /// Where the records end that the table covers completely.
    read: Option<StoreCursor>,
    /// Whether this node has listed the topic itself.
    listed: bool,
    /// When a statement of another node that covers all records first arrived.
    told_at: Option<TimePoint>,
    /// When this node learned of the newest era of the store.
    store_return: Option<TimePoint>,
}

impl EvacuationTable {
    /// Records that the store has come back from a copy.
    pub fn mark_store_return(&mut self, now: TimePoint) {
        self.store_return = Some(now);
    }

    /// Applies a list of the topic that ends at `end` and shows `evacuated`; all other places are
    /// withdrawn. Of a list with unreadable entries, only what it shows counts. Returns what has
    /// changed.
    pub fn apply_list(
        &mut self,
        now: TimePoint,
        end: StoreCursor,
        evacuated: Vec<PlaceName>,
        is_whole: bool,
    ) -> Vec<EvacuationStatement> {
        self.listed = true;
        let state = |place| EvacuationStatement { place, evacuated: true, version: end };
        let statements = evacuated.into_iter().map(state).collect();
        self.apply(now, EvacuationUpdate { read: is_whole.then_some(end), statements })
    }

    /// Applies records that were read from `from` up to `end`, in their order: each tells whether the
    /// place is evacuated. Returns what has changed.
    pub fn apply_changes(
        &mut self,
        now: TimePoint,
        from: StoreCursor,
        end: StoreCursor,
        records: Vec<(PlaceName, bool)>,
    ) -> Vec<EvacuationStatement> {
        let last: BTreeMap<PlaceName, bool> = records.into_iter().collect();
        let put = |(place, evacuated)| {
            self.put(now, EvacuationStatement { place, evacuated, version: end })
        };
        let changed = last.into_iter().filter_map(put).collect();
        if self.read.is_some_and(|read| read.era == end.era && read >= from) {
            self.read = self.read.max(Some(end));
        }
        self.forget_withdrawn();
        changed
    }

    /// Merges what another node states. Returns what has changed.
    pub fn merge(&mut self, now: TimePoint, update: EvacuationUpdate) -> Vec<EvacuationStatement> {
        if update.read.is_some() {
            self.told_at.get_or_insert(now);
        }
        self.apply(now, update)
    }

    fn apply(&mut self, now: TimePoint, update: EvacuationUpdate) -> Vec<EvacuationStatement> {
        let mentioned: Vec<PlaceName> =
            update.statements.iter().map(|statement| statement.place.clone()).collect();
        let statements = update.statements.into_iter();
        let mut changed: Vec<EvacuationStatement> =
            statements.filter_map(|statement| self.put(now, statement)).collect();
        if let Some(read) = update.read {
            // Places of an older era wait for the end of the time in which they may be written again.
            let is_missing = |(place, state): &(&PlaceName, &PlaceState)| {
                let is_covered = state.version.era == read.era && state.version < read;
                state.evacuated && is_covered && !mentioned.contains(place)
            };
            let missing = self.places.iter().filter(is_missing);
            let missing: Vec<PlaceName> = missing.map(|(place, _)| place.clone()).collect();
            changed.extend(missing.into_iter().map(|place| self.withdraw(place, read)));
            self.read = self.read.max(Some(read));
        }
        self.forget_withdrawn();
        changed
    }

    /// Applies a statement unless a newer one is known. Returns it if the place was in another
    /// state.
    fn put(
        &mut self,
        now: TimePoint,
        statement: EvacuationStatement,
    ) -> Option<EvacuationStatement> {
        let EvacuationStatement { place, evacuated, version } = statement.clone();
        let state = PlaceState { evacuated, version };
        match self.places.get(&place) {
            Some(known) if known.precedence() >= state.precedence() => return None,
            None if evacuated && self.is_outdated(now, version) => return None,
            _ => (),
        }
        let before = self.places.insert(place, state);
        (before.is_some_and(|before| before.evacuated) != evacuated).then_some(statement)
    }

    /// Whether the table covers `version`, so that a place which it does not have was withdrawn
    /// since.
    fn is_outdated(&self, now: TimePoint, version: StoreCursor) -> bool {
        let Some(read) = self.read else { return false };
        version < read && (version.era == read.era || !self.may_be_rewritten(now))
    }

    fn withdraw(&mut self, place: PlaceName, version: StoreCursor) -> EvacuationStatement {
        self.places.insert(place.clone(), PlaceState { evacuated: false, version });
        EvacuationStatement { place, evacuated: false, version }
    }

    /// Whether the store has come back so recently that what its copy lacks may be written again.
    fn may_be_rewritten(&self, now: TimePoint) -> bool {
        self.store_return.is_some_and(|at| now.since(at) < REWRITE_TIMEOUT)
    }

    /// Withdraws the evacuations that a store lacks since its return and that were not written
    /// again in time. Returns them.
    pub fn expire(&mut self, now: TimePoint) -> Vec<EvacuationStatement> {
        let Some(read) = self.read.filter(|_| !self.may_be_rewritten(now)) else {
            return Vec::new();
        };
        let is_lacking = |state: &PlaceState| state.evacuated && state.version.era < read.era;
        let lacking = self.places.iter().filter(|(_, state)| is_lacking(state));
        let lacking: Vec<PlaceName> = lacking.map(|(place, _)| place.clone()).collect();
        lacking.into_iter().map(|place| self.withdraw(place, read)).collect()
    }

    /// Forgets the oldest withdrawn places beyond [`MAX_WITHDRAWN`].
    fn forget_withdrawn(&mut self) {
        let withdrawn = self.places.iter().filter(|(_, state)| !state.evacuated);
        let mut oldest: Vec<(StoreCursor, PlaceName)> =
            withdrawn.map(|(place, state)| (state.version, place.clone())).collect();
        oldest.sort_unstable();
        let excess = oldest.len().saturating_sub(MAX_WITHDRAWN);
        for (_, place) in oldest.into_iter().take(excess) {
            self.places.remove(&place);
        }
    }

    /// What this node states to others; `None` if it knows nothing. Evacuated places come before
    /// withdrawn ones, newer statements before older ones.
    #[must_use]
    pub fn update(&self) -> Option<EvacuationUpdate> {
        let state = |(place, state): (&PlaceName, &PlaceState)| EvacuationStatement {
            place: place.clone(),
            evacuated: state.evacuated,
            version: state.version,
        };
        let mut statements: Vec<EvacuationStatement> = self.places.iter().map(state).collect();
        statements
            .sort_by_key(|statement| std::cmp::Reverse((statement.evacuated, statement.version)));
        let mut bytes = 0;
        let fits = |statement: &EvacuationStatement| {
            bytes += STATEMENT_BYTES + statement.place.as_str().len();
            bytes <= MAX_UPDATE_BYTES
        };
        let fitting: Vec<EvacuationStatement> = statements.into_iter().take_while(fits).collect();
        let stated = fitting.iter().filter(|statement| statement.evacuated).count();
        let read = self.read.filter(|_| stated == self.evacuated().count());
        (read.is_some() || !fitting.is_empty())
            .then_some(EvacuationUpdate { read, statements: fitting })
    }

    /// The evacuated places.
    pub fn evacuated(&self) -> impl Iterator<Item = &PlaceName> {
        self.places.iter().filter(|(_, state)| state.evacuated).map(|(place, _)| place)
    }

    /// Whether the place is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, place: &PlaceName) -> bool {
        self.places.get(place).is_some_and(|state| state.evacuated)
    }

    /// Whether this node knows the evacuations: it has listed the topic, or the other nodes have
    /// had the time to state what they know.
    #[must_use]
    pub fn is_informed(&self, now: TimePoint) -> bool {
        self.listed || self.told_at.is_some_and(|at| now.since(at) >= HEAR_TIMEOUT)
    }

    /// Marks the members in evacuated places as unavailable to new requests.
    #[must_use]
    pub fn exclude(&self, mut members: Vec<RouteMember>) -> Vec<RouteMember> {
        for member in &mut members {
            member.leaving |= self.is_evacuated(&member.place);
        }
        members
    }

    /// Whether evacuations alone leave none of the members available.
    #[must_use]
    pub fn excludes_all(&self, members: &[RouteMember]) -> bool {
        let mut staying = members.iter().filter(|member| !member.leaving).peekable();
        staying.peek().is_some() && staying.all(|member| self.is_evacuated(&member.place))
    }
}
