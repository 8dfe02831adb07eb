//! Which places count as evacuated, as statements of the store and of other nodes arrive in any
//! order.

use base::prelude::*;
use route::RouteMember;
use serving::{
    EvacuationStatement, EvacuationTable, EvacuationUpdate, HeartbeatSections, SectionTag,
    StoreCursor,
};

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

fn cursor(era: u64, offset: u64) -> StoreCursor {
    StoreCursor { era: StoreEra(era), offset: LogOffset(offset) }
}

fn place(name: &str) -> PlaceName {
    name.parse().unwrap()
}

fn north() -> PlaceName {
    place("north")
}

fn statement(evacuated: bool, version: StoreCursor) -> EvacuationStatement {
    EvacuationStatement { place: north(), evacuated, version }
}

/// A table that has listed the topic of the first era and read an evacuation of `north`.
fn evacuated_table() -> EvacuationTable {
    let mut table = EvacuationTable::default();
    table.apply_list(at(0), cursor(1, 1), Vec::new(), true);
    let changed = table.apply_changes(at(0), cursor(1, 1), cursor(1, 2), vec![(north(), true)]);
    assert_eq!(changed, [statement(true, cursor(1, 2))]);
    table
}

/// Passes what `from` states to `to`, encoded as between nodes.
fn tell(now: TimePoint, from: &EvacuationTable, to: &mut EvacuationTable) {
    let mut sections = HeartbeatSections::default();
    sections.put(SectionTag::EVACUATIONS, &from.update().unwrap()).unwrap();
    to.merge(now, sections.get(SectionTag::EVACUATIONS).unwrap().unwrap());
}

/// Guards against an evacuation that takes effect at the readers of the store only.
#[test]
fn another_node_learns_of_an_evacuation_and_of_its_withdrawal() {
    let mut reader = evacuated_table();
    let mut other = EvacuationTable::default();
    tell(at(0), &reader, &mut other);
    assert!(other.is_evacuated(&north()));
    assert!(!other.is_evacuated(&place("south")));
    let end = vec![(north(), false)];
    let changed = reader.apply_changes(at(1), cursor(1, 2), cursor(1, 3), end);
    assert_eq!(changed, [statement(false, cursor(1, 3))]);
    tell(at(1), &reader, &mut other);
    assert!(!other.is_evacuated(&north()));
}

/// Guards against late messages that undo a newer statement.
#[test]
fn an_older_statement_changes_nothing() {
    let mut table = evacuated_table();
    let older = [
        EvacuationUpdate { read: None, statements: vec![statement(false, cursor(1, 1))] },
        EvacuationUpdate { read: Some(cursor(1, 1)), statements: Vec::new() },
        EvacuationUpdate { read: Some(cursor(0, 9)), statements: Vec::new() },
    ];
    for update in older {
        assert_eq!(table.merge(at(1), update), []);
        assert!(table.is_evacuated(&north()));
    }
    assert_eq!(table.apply_list(at(1), cursor(1, 1), Vec::new(), true), [], "a late list");
    assert!(table.is_evacuated(&north()));
}

/// Guards against two nodes that keep different states after they have heard the same.
#[test]
fn the_order_of_statements_does_not_matter() {
    let versions = [(1, 2, true), (1, 4, false), (2, 1, true), (2, 3, false)];
    let updates: Vec<EvacuationUpdate> = versions
        .map(|(era, offset, evacuated)| {
            let version = cursor(era, offset);
            EvacuationUpdate {
                read: Some(version),
                statements: vec![statement(evacuated, version)],
            }
        })
        .into();
    for first in 0..updates.len() {
        for second in 0..updates.len() {
            let mut table = EvacuationTable::default();
            table.mark_store_return(at(0));
            let order = [first, second].into_iter().chain(0..updates.len());
            for number in order {
                table.merge(at(1), updates[number].clone());
            }
            assert!(!table.is_evacuated(&north()), "{first}, {second}");
        }
    }
}

/// Guards against a withdrawal that no node has read as a change, as when all readers have changed
/// meanwhile.
#[test]
fn a_list_without_the_key_withdraws_the_evacuation() {
    let mut table = evacuated_table();
    let changed = table.apply_list(at(1), cursor(1, 3), Vec::new(), true);
    assert_eq!(changed, [statement(false, cursor(1, 3))]);
    let mut other = evacuated_table();
    tell(at(1), &table, &mut other);
    assert!(!other.is_evacuated(&north()));
}

/// Guards against an entry that cannot be decoded being taken for a withdrawal.
#[test]
fn a_list_with_unreadable_entries_withdraws_nothing() {
    let mut table = evacuated_table();
    assert_eq!(table.apply_list(at(1), cursor(1, 3), Vec::new(), false), []);
    assert!(table.is_evacuated(&north()));
}

/// Guards against an evacuation that is lost with the newest records of the store.
#[test]
fn what_a_copy_of_the_store_lacks_stays_in_force_until_it_may_be_written_again() {
    let mut table = evacuated_table();
    table.mark_store_return(at(1_000));
    assert_eq!(table.apply_list(at(1_100), cursor(2, 1), Vec::new(), true), []);
    assert_eq!(table.expire(at(5_999)), []);
    assert!(table.is_evacuated(&north()));
    assert_eq!(table.expire(at(6_000)), [statement(false, cursor(2, 1))]);
    assert!(!table.is_evacuated(&north()));
}

/// Guards against the end of an evacuation that the operator has written again.
#[test]
fn an_evacuation_that_is_written_again_stays() {
    let mut table = evacuated_table();
    table.mark_store_return(at(1_000));
    table.apply_list(at(1_100), cursor(2, 1), Vec::new(), true);
    table.apply_changes(at(4_000), cursor(2, 1), cursor(2, 2), vec![(north(), true)]);
    assert_eq!(table.expire(at(60_000)), []);
    assert!(table.is_evacuated(&north()));
    let changes = vec![(north(), false)];
    table.apply_changes(at(60_000), cursor(2, 2), cursor(2, 3), changes);
    assert!(!table.is_evacuated(&north()));
}

/// Guards against a state that ends before any list of the new era was read.
#[test]
fn nothing_expires_before_the_store_was_listed_again() {
    let mut table = evacuated_table();
    table.mark_store_return(at(1_000));
    assert_eq!(table.expire(at(60_000)), []);
    assert!(table.is_evacuated(&north()));
}

/// Guards against a node that starts after the store's return, lists the older copy, and is told of
/// the evacuation only by others.
#[test]
fn a_fresh_node_takes_the_state_of_the_older_era_from_the_others() {
    let known = evacuated_table();
    let mut fresh = EvacuationTable::default();
    fresh.mark_store_return(at(1_000));
    fresh.apply_list(at(1_000), cursor(2, 1), Vec::new(), true);
    tell(at(1_200), &known, &mut fresh);
    assert!(fresh.is_evacuated(&north()));
    assert_eq!(fresh.expire(at(6_000)), [statement(false, cursor(2, 1))]);
    tell(at(6_100), &known, &mut fresh);
    assert!(!fresh.is_evacuated(&north()), "a node that is behind");
}

/// Guards against a copy that shows an evacuation whose withdrawal is lost being ignored: it
/// cannot be told from one that was just written.
#[test]
fn what_a_list_of_a_newer_era_shows_counts_at_once() {
    let mut table = evacuated_table();
    table.apply_changes(at(0), cursor(1, 2), cursor(1, 3), vec![(north(), false)]);
    table.mark_store_return(at(1_000));
    table.apply_list(at(1_100), cursor(2, 2), vec![north()], true);
    assert!(table.is_evacuated(&north()));
}

/// Guards against a fresh node that serves on the word of the first node it hears, which may be
/// behind the others.
#[test]
fn a_node_is_informed_by_its_own_list_or_a_while_after_others_have_told_it() {
    let mut table = EvacuationTable::default();
    assert!(!table.is_informed(at(60_000)));
    table.merge(at(100), EvacuationUpdate::default());
    assert!(!table.is_informed(at(60_000)), "the other node knows nothing either");
    tell(at(200), &evacuated_table(), &mut table);
    assert!(!table.is_informed(at(1_199)));
    assert!(table.is_informed(at(1_200)));
    let mut table = EvacuationTable::default();
    table.apply_list(at(0), cursor(1, 0), Vec::new(), true);
    assert!(table.is_informed(at(0)));
}

/// Guards against a heartbeat that cannot be sent, or that claims to be complete and is not.
#[test]
fn an_update_of_many_places_fits_into_a_section_and_starts_with_the_newest() {
    let name = |number: u64| place(&format!("{number:0>120}"));
    let mut table = EvacuationTable::default();
    table.apply_list(at(0), cursor(1, 0), Vec::new(), true);
    for number in 0..200 {
        let changes = vec![(name(number), number % 2 == 0)];
        table.apply_changes(at(0), cursor(1, number), cursor(1, number + 1), changes);
    }
    let update = table.update().unwrap();
    assert_eq!(update.read, None);
    assert_eq!(update.statements[0].place, name(198));
    assert!(update.statements.iter().all(|statement| statement.evacuated));
    let mut sections = HeartbeatSections::default();
    sections.put(SectionTag::EVACUATIONS, &update).unwrap();
    let mut other = EvacuationTable::default();
    tell(at(0), &evacuated_table(), &mut other);
    other.merge(at(0), update);
    assert!(other.is_evacuated(&north()), "not mentioned, but the update is not complete");
}

/// Guards against withdrawn places that pile up in memory and in heartbeats.
#[test]
fn withdrawn_places_are_forgotten_and_stay_withdrawn() {
    let mut table = EvacuationTable::default();
    table.apply_list(at(0), cursor(1, 0), Vec::new(), true);
    let mut offset = 0;
    for number in 0..100 {
        for evacuated in [true, false] {
            let changes = vec![(place(&format!("place-{number}")), evacuated)];
            table.apply_changes(at(0), cursor(1, offset), cursor(1, offset + 1), changes);
            offset += 1;
        }
    }
    assert!(table.update().unwrap().statements.len() <= 32);
    let old =
        EvacuationStatement { place: place("place-0"), evacuated: true, version: cursor(1, 1) };
    table.merge(at(0), EvacuationUpdate { read: None, statements: vec![old] });
    assert!(!table.is_evacuated(&place("place-0")));
}

/// Guards against changes of one read that are applied out of order.
#[test]
fn the_last_change_of_one_read_counts() {
    let mut table = evacuated_table();
    let changes = vec![(north(), false), (north(), true), (north(), false)];
    table.apply_changes(at(0), cursor(1, 2), cursor(1, 5), changes);
    assert!(!table.is_evacuated(&north()));
}

/// Guards against runners in an evacuated place being chosen, and against a service without
/// runners being reported as evacuated.
#[test]
fn members_in_an_evacuated_place_are_unavailable() {
    let member = |runner: &str, name: &str, leaving: bool| RouteMember {
        runner: runner.parse().unwrap(),
        place: place(name),
        leaving,
    };
    let table = evacuated_table();
    let both = vec![member("a", "north", false), member("b", "south", false)];
    let leaving: Vec<bool> =
        table.exclude(both.clone()).iter().map(|member| member.leaving).collect();
    assert_eq!(leaving, [true, false]);
    assert!(!table.excludes_all(&both));
    assert!(table.excludes_all(&both[..1]));
    assert!(table.excludes_all(&[member("a", "north", false), member("b", "south", true)]));
    assert!(!table.excludes_all(&[member("a", "north", true)]));
    assert!(!table.excludes_all(&[]));
}
