//! Messages between nodes: what is encoded is decoded, and bytes that are no message give an error.

use std::net::SocketAddr;

use base::prelude::*;
use proptest::prelude::*;
use route::MemoryForecast;
use serving::{
    CallInput, CrashReport, HeartbeatSections, InputUpdate, LimitReport, LimitUpdate,
    MAX_SECTION_BYTES, MESSAGE_VERSION, MessageError, PeerHeartbeat, PeerMessage, RunnerChange,
    RunnerIncarnation, RunnerLoad, RunnerUpdate, SectionTag, ServiceDemand, TimedInput,
    decode_message, encode_message,
};

fn input_update() -> InputUpdate {
    let input: CallInput = "91bd3f06".parse().unwrap();
    let runner = RunnerIncarnation { runner: "runner-1".parse().unwrap(), started_unix_ms: 9 };
    let timed = TimedInput { input: input.clone(), left: TimeSpan::seconds(3) };
    InputUpdate {
        crashes: vec![CrashReport { runner, inputs: vec![input], left: TimeSpan::seconds(2) }],
        blocked: vec![timed.clone()],
        safe: vec![timed],
    }
}

fn limit_update() -> LimitUpdate {
    let runner = RunnerIncarnation { runner: "runner-2".parse().unwrap(), started_unix_ms: 9 };
    let limit = Some(RequestRate(3.5));
    LimitUpdate {
        limits: vec![LimitReport { runner, limit, left: TimeSpan::seconds(2) }],
        demands: vec![ServiceDemand { service: "desk".parse().unwrap(), requests: 40 }],
    }
}

fn message() -> PeerMessage {
    let address: SocketAddr = "10.0.0.1:7200".parse().unwrap();
    let forecast = MemoryForecast {
        mean: [3_000.0, 3_030.0, 2_900.0, 1_500.0, 10.0],
        variance: [0.0, 100.0, 400.0, 2_500.0, 81.0],
    };
    let load =
        RunnerLoad { runner: "runner-1".parse().unwrap(), calls: 1, prefill_tokens: 0, forecast };
    PeerMessage::Heartbeat(Box::new(PeerHeartbeat {
        vm: "node-1".parse().unwrap(),
        incarnation: VmIncarnation(7),
        sequence: 3,
        caller_address: address,
        peer_address: address,
        place: "north".parse().unwrap(),
        ready: true,
        store_reachable: true,
        reaches_runners: true,
        plan_version: None,
        store_era: StoreEra(4),
        runners_offset: LogOffset(12),
        loads: vec![load],
        waiting_services: vec!["llm".parse().unwrap()],
        leaving: Vec::new(),
        input_update: input_update(),
        limit_update: limit_update(),
        sections: HeartbeatSections::default(),
    }))
}

#[test]
fn a_message_is_decoded_as_it_was_encoded() {
    let bytes = encode_message(&message()).unwrap();
    assert_eq!(decode_message(&bytes), Ok(message()));
}

#[test]
fn changes_of_the_runner_list_carry_their_era() {
    let changes = vec![RunnerChange::Remove("runner-1".parse().unwrap())];
    let (from, end) = (LogOffset(3), LogOffset(4));
    let message = PeerMessage::RunnerUpdate(RunnerUpdate { era: StoreEra(7), from, end, changes });
    let bytes = encode_message(&message).unwrap();
    assert_eq!(decode_message(&bytes), Ok(message));
}

#[test]
fn a_message_of_another_version_is_named_as_such() {
    let mut bytes = encode_message(&message()).unwrap();
    bytes[0] = MESSAGE_VERSION - 1;
    assert_eq!(decode_message(&bytes), Err(MessageError::OtherVersion(MESSAGE_VERSION - 1)));
    assert_eq!(decode_message(&[]), Err(MessageError::Empty));
}

fn message_with_sections() -> PeerMessage {
    let PeerMessage::Heartbeat(mut heartbeat) = message() else { unreachable!("a heartbeat") };
    heartbeat.sections.put(SectionTag::EVACUATIONS, &vec![7_u64, 8]).unwrap();
    heartbeat.sections.put(SectionTag::RUNNER_SPEEDS, &"half").unwrap();
    PeerMessage::Heartbeat(heartbeat)
}

#[test]
fn sections_follow_the_heartbeat() {
    let bytes = encode_message(&message_with_sections()).unwrap();
    assert_eq!(decode_message(&bytes), Ok(message_with_sections()));
}

/// Guards against an update of the fleet in which nodes do not understand each other: builds
/// without sections decode the message and ignore what follows it.
#[test]
fn a_heartbeat_with_sections_begins_with_the_bytes_of_one_without() {
    let plain = encode_message(&message()).unwrap();
    let bytes = encode_message(&message_with_sections()).unwrap();
    assert_eq!(bytes[..plain.len()], plain);
    assert_eq!(decode_message(&plain), Ok(message()));
}

/// Guards against sections of newer builds that make a node miss whole heartbeats.
#[test]
fn bytes_after_a_heartbeat_that_are_no_sections_are_ignored() {
    let mut bytes = encode_message(&message()).unwrap();
    bytes.extend([0xff; 7]);
    assert_eq!(decode_message(&bytes), Ok(message()));
}

#[test]
fn a_section_is_read_on_its_own() {
    let PeerMessage::Heartbeat(heartbeat) = message_with_sections() else {
        unreachable!("a heartbeat")
    };
    let sections = heartbeat.sections;
    assert_eq!(sections.get(SectionTag::EVACUATIONS), Ok(Some(vec![7_u64, 8])));
    assert_eq!(sections.get::<u64>(SectionTag::HEDGES), Ok(None));
    assert!(sections.get::<[f64; 4]>(SectionTag::RUNNER_SPEEDS).is_err());
}

#[test]
fn a_section_that_is_too_long_is_left_out() {
    let mut sections = HeartbeatSections::default();
    let content = vec![0_u8; MAX_SECTION_BYTES];
    let refused = sections.put(SectionTag::HEDGES, &content);
    assert!(matches!(refused, Err(MessageError::SectionTooLong(_))), "{refused:?}");
    assert!(sections.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: prop::test_runner::RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_give_a_message_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = decode_message(&bytes);
        let versioned: Vec<u8> = std::iter::once(MESSAGE_VERSION).chain(bytes).collect();
        let _ = decode_message(&versioned);
    }

    #[test]
    fn a_cut_or_changed_message_gives_a_message_or_an_error(
        cut in 0_usize..200,
        at in 0_usize..200,
        bit in 0_u32..8,
    ) {
        let mut bytes = encode_message(&message()).unwrap();
        let index = at % bytes.len();
        bytes[index] ^= 1 << bit;
        bytes.truncate(bytes.len().saturating_sub(cut));
        let _ = decode_message(&bytes);
    }
}
