//! Transfers of a large configuration over a fleet of small links, in virtual time.

use std::collections::BTreeMap;
use std::rc::Rc;

use base::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serving::{
    PlanVersion, RequestLimits, RouteKind, RouteRule, RouteTarget, ServingPlan, TransferForm,
    TransferId, TransferPacer, decode_state, encode_state,
};

/// Bandwidth of a small machine's link, in Mbit/s.
const LINK_MBPS: f64 = 10.0;
/// Size of a chunk, in bytes.
const CHUNK_BYTES: usize = 16 << 10;
/// Time in which a change has to be in force on the grown deployments (3 s), less the second
/// that a reader of the store may take.
const SPREAD_LIMIT: TimeSpan = TimeSpan::millis(2_000);
/// Pause of a node that was turned away, in milliseconds.
const RETRY_MS: std::ops::Range<u64> = 40..120;
/// Time for a request and its refusal, there and back.
const ROUND_TRIP: TimeSpan = TimeSpan::millis(4);

/// A configuration after it has grown twice by 1,400 routes.
fn large_plan() -> ServingPlan {
    let mut rng = StdRng::seed_from_u64(7);
    let mut routes: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Rc<RouteRule>>> = BTreeMap::new();
    for _ in 0..4_248 {
        let (name, prefix) = (rng.random::<u32>(), rng.random::<u32>());
        let rule = RouteRule {
            name: format!("r-{name:07x}").into(),
            host: "tide50.example".into(),
            prefix: format!("/p{prefix:07x}/").into(),
            targets: vec![RouteTarget { service: "counter-app".parse().unwrap(), weight: 1 }],
            kind: RouteKind::Idempotent,
            timeout: TimeSpan::seconds(1),
            target_latency: TimeSpan::millis(100),
            gap_target: None,
            priority: 1,
            max_attempts: 2,
            is_public: false,
            stream_resume: false,
        };
        routes.entry(rule.host.clone()).or_default().insert(rule.prefix.clone(), Rc::new(rule));
    }
    let limits = RequestLimits {
        max_head_bytes: 16_384,
        max_body_bytes: 4_096,
        idle_timeout: TimeSpan::seconds(15),
    };
    ServingPlan { version: PlanVersion(17), routes, services: BTreeMap::new(), keys: None, limits }
}

/// What a node of the virtual fleet does next.
enum Step {
    /// It asks a random holder.
    Ask,
    /// The next chunk of its transfer arrives.
    Receive { holder: usize, transfer: TransferId, left: usize },
}

/// Spreads a configuration of `bytes` from the first `readers` nodes over `nodes`; returns when
/// the last node has it.
fn spread(nodes: usize, readers: usize, bytes: usize, seed: u64) -> TimeSpan {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pacers: Vec<TransferPacer> =
        (0..nodes).map(|_| TransferPacer::new(LINK_MBPS)).collect();
    let mut holders: Vec<usize> = (0..readers).collect();
    let mut queue: BTreeMap<(TimePoint, usize), Step> =
        (readers..nodes).map(|node| ((TimePoint::default(), node), Step::Ask)).collect();
    let mut last = TimePoint::default();
    while let Some(((now, node), step)) = queue.pop_first() {
        let (holder, transfer, left) = match step {
            Step::Receive { left: 0, holder, transfer } => {
                pacers[holder].end(transfer);
                holders.push(node);
                last = now;
                continue;
            }
            Step::Receive { holder, transfer, left } => (holder, transfer, left),
            Step::Ask => {
                let holder = holders[rng.random_range(0..holders.len())];
                let Some(transfer) = pacers[holder].try_begin(now, TransferForm::Compressed) else {
                    let pause = TimeSpan::millis(rng.random_range(RETRY_MS)) + ROUND_TRIP;
                    queue.insert((now + pause, node), Step::Ask);
                    continue;
                };
                (holder, transfer, bytes)
            }
        };
        let chunk = left.min(CHUNK_BYTES);
        let due = pacers[holder].schedule_chunk(now, transfer, chunk);
        let wire = TimeSpan((chunk as f64 / (LINK_MBPS / 8.0)) as u64);
        let step = Step::Receive { holder, transfer, left: left - chunk };
        queue.insert((due + wire, node), step);
    }
    last.since(TimePoint::default())
}

#[test]
fn an_encoded_configuration_is_small_and_decodes_to_the_same() {
    let plan = large_plan();
    let encoded = encode_state(&plan).unwrap();
    let json = serde_json::to_vec(&plan).unwrap();
    assert!(encoded.len() * 5 < json.len(), "{} of {}", encoded.len(), json.len());
    assert_eq!(decode_state::<ServingPlan>(&encoded).unwrap(), plan);
    assert!(decode_state::<ServingPlan>(&json).is_err());
    assert!(decode_state::<ServingPlan>(&encoded[..encoded.len() / 2]).is_err());
}

#[test]
fn a_large_configuration_spreads_over_a_fleet_of_small_links_in_time() {
    let bytes = encode_state(&large_plan()).unwrap().len();
    for seed in 1..=10 {
        for (nodes, readers) in [(68, 4), (195, 12), (1_600, 100)] {
            let took = spread(nodes, readers, bytes, seed);
            assert!(took <= SPREAD_LIMIT, "{nodes} nodes, seed {seed}: {} ms", took.as_millis());
        }
    }
}

#[test]
fn transfers_leave_half_of_the_link() {
    let mut pacer = TransferPacer::new(LINK_MBPS);
    let now = TimePoint::default();
    let ids = [
        pacer.try_begin(now, TransferForm::Compressed).unwrap(),
        pacer.try_begin(now, TransferForm::Compressed).unwrap(),
    ];
    let second = now + TimeSpan::seconds(1);
    let mut sent = 0;
    while pacer.schedule_chunk(now, ids[sent % 2], CHUNK_BYTES) < second {
        sent += 1;
    }
    let half = LINK_MBPS / 8.0 * 1e6 / 2.0;
    assert!((sent * CHUNK_BYTES) as f64 <= half + CHUNK_BYTES as f64, "{sent} chunks");
}

#[test]
fn a_silent_receiver_does_not_keep_its_place() {
    let mut pacer = TransferPacer::new(LINK_MBPS);
    let begun = TimePoint::default();
    let silent = pacer.try_begin(begun, TransferForm::Compressed).unwrap();
    pacer.try_begin(begun, TransferForm::Compressed).unwrap();
    assert_eq!(pacer.try_begin(begun, TransferForm::Compressed), None);
    let later = begun + TimeSpan::seconds(2);
    assert!(pacer.try_begin(later, TransferForm::Compressed).is_some());
    assert!(pacer.try_begin(later, TransferForm::Compressed).is_some());
    // Its end, when it comes at last, frees no other's place.
    pacer.end(silent);
    assert_eq!(pacer.try_begin(later, TransferForm::Compressed), None);
}

#[test]
fn a_plain_transfer_takes_no_place_of_a_compressed_one_and_is_not_slowed_down() {
    let mut pacer = TransferPacer::new(LINK_MBPS);
    let now = TimePoint::default();
    let plain = pacer.try_begin(now, TransferForm::Plain).unwrap();
    assert_eq!(pacer.try_begin(now, TransferForm::Plain), None);
    for _ in 0..2 {
        let id = pacer.try_begin(now, TransferForm::Compressed).unwrap();
        pacer.schedule_chunk(now, id, CHUNK_BYTES);
    }
    assert_eq!(pacer.schedule_chunk(now, plain, CHUNK_BYTES), now);
}
