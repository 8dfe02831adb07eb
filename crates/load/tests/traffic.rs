//! The load against a stub entry: what it lets pass, and that it catches each misdeed.

mod stub_entry;

use std::net::SocketAddr;

use fakes::{FakeHost, ServiceFake, ServiceSettings};
use load::traffic::{
    FinalOutcome, TrafficMix, TrafficPlan, TrafficReport, ViolationKind, run_traffic,
};
use stub_entry::{Misdeed, StubEntry};

const MIX: &str = r#"{
    // Five classes, about forty calls in a second.
    "classes": [
        { "name": "briefing", "kind": "streamed", "per_second": 8, "model": "big", "length": [5, 12] },
        { "name": "summary", "kind": "whole", "per_second": 4, "model": "big", "length": [5, 12] },
        { "name": "tag", "kind": "whole", "per_second": 8, "model": "big", "length": [5, 6] },
        { "name": "ticket", "kind": "lookup", "per_second": 10, "service": "counter" },
        { "name": "booking", "kind": "booking", "per_second": 10, "service": "counter" },
    ],
}"#;

fn run(misdeed: Misdeed) -> TrafficReport {
    kernel::run(async {
        let settings = ServiceSettings { runner: "bookings-1".parse().unwrap(), incarnation: 1 };
        let service = ServiceFake::new(settings);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = move |request| service.clone().handle(request);
        let service = FakeHost::start(any, handler).await.unwrap();
        let entry = StubEntry::start(misdeed, service.address()).await;
        run_traffic(&plan(&entry, &service)).await
    })
    .unwrap()
}

fn plan(entry: &FakeHost, service: &FakeHost) -> TrafficPlan {
    TrafficPlan {
        entries: vec![entry.address()],
        callers: vec!["agency=key-1".parse().unwrap(), "counter=key-2".parse().unwrap()],
        mix: TrafficMix::parse("test", MIX).unwrap(),
        seconds: 1,
        drain_seconds: 30,
        seed: 5,
        services: vec![service.address()],
        engines: Vec::new(),
    }
}

fn all_done(report: &TrafficReport) -> bool {
    let done =
        |class: &load::traffic::ClassReport| class.outcomes.get(&FinalOutcome::Done).copied();
    report.classes.iter().all(|class| class.started > 0 && done(class) == Some(class.started))
}

#[test]
fn a_sound_entry_passes_with_every_call_done() {
    let report = run(Misdeed::None);
    assert!(report.is_kept(), "{:?}", report.examples);
    assert!(all_done(&report), "{}", report.table());
    assert_eq!(report.bookings.done, report.classes[4].started);
    assert_eq!(report.bookings.unchecked, 0);
    let streams = &report.classes[0];
    assert_eq!(streams.first_token.count, streams.started);
    assert_eq!(streams.gap.count, streams.tokens - streams.started);
    assert!(streams.gap.p50_ms >= 1.0, "the stub waits so long between tokens");
}

#[test]
fn cut_streams_are_resumed_to_their_end() {
    let report = run(Misdeed::CutStream);
    assert!(report.is_kept(), "{:?}", report.examples);
    assert!(all_done(&report), "{}", report.table());
    assert!(report.classes[0].resumes >= report.classes[0].started);
}

#[test]
fn polite_refusals_are_retried() {
    let report = run(Misdeed::Refuse);
    assert!(report.is_kept(), "{:?}", report.examples);
    assert!(report.classes.iter().all(|class| class.retries > 0 && class.unfinished == 0));
    assert!(report.classes[4].reasons["overloaded"] > 0);
}

#[test]
fn each_misdeed_is_caught() {
    let cases = [
        (Misdeed::RepeatToken, ViolationKind::TokenRepeated),
        (Misdeed::SkipToken, ViolationKind::TokenSkipped),
        (Misdeed::MixGenerations, ViolationKind::GenerationMixed),
        (Misdeed::RefuseMidStream, ViolationKind::NotRunAfterTokens),
        (Misdeed::ShortAnswer, ViolationKind::AnswerShort),
        (Misdeed::ForeignAnswer, ViolationKind::ForeignAnswer),
        (Misdeed::BookTwice, ViolationKind::BookingRepeated),
        (Misdeed::LoseBooking, ViolationKind::BookingLost),
        (Misdeed::RefuseRanBooking, ViolationKind::BookingRanRefused),
    ];
    let check = |(misdeed, kind)| {
        let report = run(misdeed);
        assert!(report.violations.contains_key(&kind), "{misdeed:?}: {:?}", report.violations);
        assert!(!report.examples.is_empty());
    };
    std::thread::scope(|scope| {
        for case in cases {
            scope.spawn(move || check(case));
        }
    });
}

#[test]
fn built_in_mixes_are_valid_and_faults_of_a_mix_are_named() {
    assert_eq!(TrafficMix::load("cobbler").unwrap().classes.len(), 5);
    assert_eq!(TrafficMix::load("harmattan").unwrap().classes.len(), 4);
    let missing = r#"{ "classes": [{ "name": "tag", "kind": "whole", "per_second": 1 }] }"#;
    let error = TrafficMix::parse("test", missing).unwrap_err();
    assert_eq!(error.to_string(), "mix test: class tag: model is missing");
}
