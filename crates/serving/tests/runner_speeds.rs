//! The statements on speeds of runners that nodes exchange: small, and close to what was observed.

use base::prelude::*;
use serving::{
    HeartbeatSections, MAX_SPEED_ENTRIES, RunnerIncarnation, RunnerKey, SectionTag, SpeedEntry,
    SpeedUpdate,
};

fn key(number: u64) -> RunnerKey {
    let runner = format!("runner-{number}").parse().unwrap();
    RunnerKey::new(&RunnerIncarnation { runner, started_unix_ms: 1_700_000_000_000 + number })
}

#[test]
fn quantized_statement_is_close_to_the_observed_one() {
    let present = Some((2.5_f64.ln(), TimeSpan::millis(120)));
    let entry = SpeedEntry::new(key(1), 1.6_f64.ln(), 2.5, present);
    assert!((entry.factor.log().exp() - 1.6).abs() < 0.04);
    assert!((entry.weight() - 2.5).abs() < 0.06);
    let (deviation, age) = entry.present().unwrap();
    assert!((deviation.exp() - 2.5).abs() < 0.06);
    assert_eq!(age, TimeSpan::millis(120));
}

#[test]
fn extreme_values_saturate_and_an_old_present_figure_is_left_out() {
    let entry = SpeedEntry::new(key(1), -50.0, 1e9, Some((0.9, TimeSpan::seconds(5))));
    assert!(entry.factor.log() < -3.0);
    assert!(entry.weight() > 25.0);
    assert_eq!(entry.present(), None);
}

#[test]
fn full_section_stays_below_its_limit() {
    let present = Some((-1.2, TimeSpan::millis(900)));
    let entry = |number| SpeedEntry::new(key(number), -1.0, 25.0, present);
    let update = SpeedUpdate((0..MAX_SPEED_ENTRIES as u64).map(entry).collect());
    let mut sections = HeartbeatSections::default();
    sections.put(SectionTag::RUNNER_SPEEDS, &update).unwrap();
    assert_eq!(sections.get(SectionTag::RUNNER_SPEEDS), Ok(Some(update.clone())));
    let longest = update.0.iter().map(|entry| postcard::to_stdvec(entry).unwrap().len()).max();
    assert!(longest <= Some(10), "{longest:?} bytes");
}

#[test]
fn runners_and_their_incarnations_have_different_keys() {
    let mut keys: Vec<RunnerKey> = (0..1_000).map(key).collect();
    keys.sort();
    keys.dedup();
    assert_eq!(keys.len(), 1_000);
}
