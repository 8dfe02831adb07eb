//! The engine's interface: streams, resume, cancel, orders, lags, and each fault.

mod common;

use base::{BlockCount, CacheEvent, RunnerReport, TimeSpan};
use common::{LIMIT, call, fault, get, open, post, read_all, run, start, status, wait_for};
use fakes::engine::EngineSettings;
use fakes::engine_server::{EngineFake, EngineStats, PromptSpec, ServerSettings};
use fakes::{FakeHost, WeightFake, WeightSettings};
use hyper::Method;
use serde_json::{Value, json};
use web::SseEvent;

const COMPLETIONS: &str = "/v1/completions";
/// How many times faster than real time the engines of these tests step.
const SPEED: f64 = 20.0;

fn settings() -> ServerSettings {
    let models = vec!["big".parse().unwrap()];
    ServerSettings { speed: SPEED, ..ServerSettings::new("e1".parse().unwrap(), models) }
}

async fn start_engine(settings: ServerSettings) -> FakeHost {
    let engine = EngineFake::start(settings);
    start(move |request| engine.clone().handle(request)).await
}

fn body(generation: &str, length: u32, prefix: &[String]) -> String {
    json!({
        "model": "big", "prompt": prompt(length), "max_tokens": 10_000, "priority": 1,
        "generation": generation, "attempt": 0, "prefix": prefix,
    })
    .to_string()
}

fn prompt(length: u32) -> String {
    format!("summary [[length {length}]]")
}

async fn stats(host: &FakeHost) -> EngineStats {
    serde_json::from_value(get(host, "/stats").await).unwrap()
}

async fn report(host: &FakeHost) -> RunnerReport {
    let report = wait_for(async || call(host, Method::GET, "/load", "").await.ok()).await;
    serde_json::from_value(report).unwrap()
}

/// Index and text of each token event.
fn tokens(events: &[SseEvent]) -> Vec<(u64, String)> {
    let values = events.iter().filter(|event| event.data != "[DONE]");
    let values = values.map(|event| serde_json::from_str::<Value>(&event.data).unwrap());
    values.map(|v| (v["index"].as_u64().unwrap(), v["token"].as_str().unwrap().into())).collect()
}

fn is_done(events: &[SseEvent]) -> bool {
    events.last().is_some_and(|event| event.data == "[DONE]")
}

#[test]
fn a_stream_brings_every_token_once_and_ends_with_its_mark() {
    run(async {
        let engine = start_engine(settings()).await;
        let reader = open(&engine, Method::POST, COMPLETIONS, &body("a1", 30, &[])).await;
        let (events, orderly) = read_all(reader).await;
        assert!(orderly && is_done(&events));
        let tokens = tokens(&events);
        let nonce = &tokens[0].1[..4];
        let tag = PromptSpec::new(&prompt(30)).tag;
        let expected: Vec<(u64, String)> =
            (0..30).map(|index| (index, format!("{nonce}-{tag:08x}-{index} "))).collect();
        assert_eq!(tokens, expected);
        assert!(stats(&engine).await.generations["00000000000000a1"][&0].finished);
    });
}

#[test]
fn what_is_refused_did_not_run() {
    run(async {
        let engine = start_engine(settings()).await;
        let unknown = body("a1", 5, &[]).replace("big", "huge");
        assert_eq!(status(post(&engine, COMPLETIONS, &unknown).await), 404);
        let foreign = body("a1", 5, &["what".to_owned()]);
        assert_eq!(status(post(&engine, COMPLETIONS, &foreign).await), 400);
        let endless = body("a1", 90_000, &[]).replace("10000", "90000");
        assert_eq!(status(post(&engine, COMPLETIONS, &endless).await), 413);
        fault(&engine, r#"{"leaving": true}"#).await;
        let leaving = post(&engine, COMPLETIONS, &body("a1", 5, &[])).await.unwrap_err();
        assert!(leaving.to_string().contains(r#""leaving":true"#), "{leaving}");
        assert_eq!(stats(&engine).await.generations.len(), 0);
        wait_for(async || report(&engine).await.leaving.then_some(())).await;
    });
}

#[test]
fn a_killed_stream_goes_on_and_is_resumed_by_index() {
    run(async {
        let engine = start_engine(settings()).await;
        let mut reader = open(&engine, Method::POST, COMPLETIONS, &body("a1", 2_000, &[])).await;
        let first = reader.next().await.unwrap().unwrap();
        fault(&engine, r#"{"kill_streams": true}"#).await;
        let (mut events, orderly) = read_all(reader).await;
        assert!(!orderly, "the connection closes in the middle");
        events.insert(0, first);
        let from = tokens(&events).len();
        let path = format!("/v1/generations/a1/0?from={from}");
        let (rest, orderly) = read_all(open(&engine, Method::GET, &path, "").await).await;
        assert!(orderly && is_done(&rest));
        events.extend(rest);
        let indexes: Vec<u64> = tokens(&events).into_iter().map(|(index, _)| index).collect();
        assert_eq!(indexes, (0..2_000).collect::<Vec<_>>());
        let again = body("a1", 2_000, &[]);
        assert_eq!(status(post(&engine, COMPLETIONS, &again).await), 409);
        let unknown = call(&engine, Method::GET, "/v1/generations/a1/1", "").await;
        assert_eq!(status(unknown), 404);
    });
}

#[test]
fn a_cancelled_generation_ends_without_the_mark() {
    run(async {
        let engine = start_engine(settings()).await;
        let mut reader = open(&engine, Method::POST, COMPLETIONS, &body("a1", 5_000, &[])).await;
        reader.next().await.unwrap().unwrap();
        let answer = call(&engine, Method::DELETE, "/v1/generations/a1/0", "").await.unwrap();
        assert!(answer["produced"].as_u64().unwrap() >= 1);
        assert!(!is_done(&read_all(reader).await.0));
        assert!(stats(&engine).await.generations["00000000000000a1"][&0].cancelled);
        wait_for(async || (report(&engine).await.running == 0).then_some(())).await;
    });
}

#[test]
fn a_generation_that_nobody_reads_is_abandoned_and_forgotten() {
    run(async {
        let grace = TimeSpan::millis(50);
        let hasty = ServerSettings { reader_grace: grace, keep_span: grace, ..settings() };
        let engine = start_engine(hasty).await;
        let mut reader = open(&engine, Method::POST, COMPLETIONS, &body("a1", 9_000, &[])).await;
        reader.next().await.unwrap().unwrap();
        drop(reader);
        let abandoned = async || {
            let attempt = stats(&engine).await.generations["00000000000000a1"][&0];
            attempt.abandoned.then_some(attempt)
        };
        assert!(!wait_for(abandoned).await.finished);
        let path = "/v1/generations/a1/0?from=0";
        let read = || web::fetch("read", Method::GET, engine.address(), path, "".into(), LIMIT);
        let forgotten = async || read().await.err();
        assert_eq!(status(Err(wait_for(forgotten).await)), 404);
    });
}

#[test]
fn a_continuation_keeps_the_nonce_and_the_indexes() {
    run(async {
        let engine = start_engine(settings()).await;
        let reader = open(&engine, Method::POST, COMPLETIONS, &body("a1", 12, &[])).await;
        let whole = tokens(&read_all(reader).await.0);
        let prefix: Vec<String> = whole[..7].iter().map(|(_, token)| token.clone()).collect();
        let reader = open(&engine, Method::POST, COMPLETIONS, &body("b2", 12, &prefix)).await;
        let (rest, _) = read_all(reader).await;
        assert!(is_done(&rest));
        assert_eq!(tokens(&rest), whole[7..]);
        assert_eq!(stats(&engine).await.generations["00000000000000b2"][&0].continued_from, 7);
    });
}

#[test]
fn duplicated_events_surround_the_true_ones() {
    run(async {
        let engine = start_engine(settings()).await;
        fault(&engine, r#"{"duplicate": 3}"#).await;
        let reader = open(&engine, Method::POST, COMPLETIONS, &body("a1", 6, &[])).await;
        let (events, _) = read_all(reader).await;
        let marked: Vec<String> = events
            .iter()
            .filter_map(|event| serde_json::from_str::<Value>(&event.data).ok())
            .filter(Value::is_object)
            .map(|v| {
                let own = v["generation"] == "00000000000000a1";
                format!("{}{}:{}", if own { "own" } else { "other" }, v["attempt"], v["index"])
            })
            .collect();
        insta::assert_json_snapshot!(marked);
    });
}

#[test]
fn a_stall_holds_tokens_back_and_loses_none() {
    run(async {
        let engine = start_engine(settings()).await;
        fault(&engine, r#"{"stall_ms": 200}"#).await;
        let clock = kernel::MonotonicClock::new();
        let mut reader = open(&engine, Method::POST, COMPLETIONS, &body("a1", 20, &[])).await;
        let first = reader.next().await.unwrap().unwrap();
        assert!(clock.now().0 > 150_000, "no token passes during the stall");
        let (rest, _) = read_all(reader).await;
        assert_eq!(tokens(&[first]).len() + tokens(&rest).len(), 20);
    });
}

#[test]
fn old_orders_are_refused_only_where_fencing_is_checked() {
    run(async {
        for checks_fencing in [true, false] {
            let engine = start_engine(ServerSettings { checks_fencing, ..settings() }).await;
            let newer = post(&engine, "/orders", r#"{"fence": 9, "models": ["big", "small"]}"#);
            let answer = newer.await.unwrap();
            assert_eq!(answer, json!({ "fence": 9, "models": ["big", "small"], "loading": [] }));
            let older = post(&engine, "/orders", r#"{"fence": 8, "models": ["big"]}"#).await;
            assert_eq!(older.is_err(), checks_fencing);
            if let Err(error) = older {
                assert_eq!(status(Err(error)), 409);
            }
            let orders = stats(&engine).await.orders;
            let accepted: Vec<bool> = orders.iter().map(|order| order.accepted).collect();
            assert_eq!(accepted, [true, !checks_fencing]);
            assert_eq!(orders[1].fence, 8);
        }
    });
}

#[test]
fn an_order_loads_from_the_weight_store_and_unloads_at_once() {
    run(async {
        let store = WeightFake::new(WeightSettings::default());
        let weights = start(move |request| store.clone().handle(request)).await;
        let weights_address = Some(weights.address());
        let engine = start_engine(ServerSettings { weights: weights_address, ..settings() }).await;
        let mut reader = open(&engine, Method::POST, COMPLETIONS, &body("a1", 9_000, &[])).await;
        reader.next().await.unwrap().unwrap();
        let answer = post(&engine, "/orders", r#"{"fence": 1, "models": ["small"]}"#).await;
        assert_eq!(answer.unwrap(), json!({ "fence": 1, "models": [], "loading": ["small"] }));
        assert!(!is_done(&read_all(reader).await.0), "its model is gone");
        let loaded = async || (report(&engine).await.models.len() == 1).then_some(());
        wait_for(loaded).await;
        let stats = stats(&engine).await;
        assert_eq!((stats.unload_losses, stats.weight_loads["small"]), (1, 1));
        assert_eq!(get(&weights, "/stats").await["loads"], json!({ "small": 1 }));
    });
}

#[test]
fn reports_are_as_old_as_their_lag_and_freeze() {
    run(async {
        let lag = TimeSpan::millis(100);
        let engine = start_engine(ServerSettings { report_lag: lag, ..settings() }).await;
        let first = report(&engine).await;
        assert!(first.age >= lag);
        let newer = async || (report(&engine).await.sequence > first.sequence).then_some(());
        wait_for(newer).await;
        fault(&engine, r#"{"freeze_reports": true}"#).await;
        let frozen = report(&engine).await;
        let aged = async || {
            let next = report(&engine).await;
            assert_eq!(next.sequence, frozen.sequence);
            (next.age > frozen.age + lag).then_some(())
        };
        wait_for(aged).await;
    });
}

#[test]
fn cache_events_come_late_and_with_gaps() {
    run(async {
        let late = ServerSettings {
            cache_event_lag: TimeSpan::millis(1),
            cache_event_loss: 0.5,
            ..settings()
        };
        let engine = start_engine(late).await;
        for number in 0..20 {
            let text = body(&format!("{number:x}"), 1, &[]);
            let text = text.replace("summary", &format!("{number} {}", "word ".repeat(60)));
            read_all(open(&engine, Method::POST, COMPLETIONS, &text).await).await;
        }
        let (mut last, mut gaps) = (0, 0);
        let events = wait_for(async || {
            let page = get(&engine, "/cache-events?from=0").await;
            let events: Vec<CacheEvent> = serde_json::from_value(page["events"].clone()).unwrap();
            (events.len() >= 5).then_some(events)
        });
        for event in events.await {
            assert!(event.sequence > last);
            gaps += event.sequence - last - 1;
            last = event.sequence;
        }
        assert!(gaps > 0);
    });
}

#[test]
fn a_small_engine_preempts_and_still_completes() {
    run(async {
        let small = EngineSettings { total_blocks: BlockCount(16), ..EngineSettings::default() };
        let engine = start_engine(ServerSettings { engine: small, ..settings() }).await;
        let mut readers = Vec::new();
        for generation in ["1", "2", "3", "4"] {
            let text = body(generation, 100, &[]);
            readers.push(open(&engine, Method::POST, COMPLETIONS, &text).await);
        }
        for reader in readers {
            let (events, _) = read_all(reader).await;
            assert_eq!(tokens(&events).len(), 100);
        }
        let stats = stats(&engine).await;
        assert!(stats.preemptions > 0 && stats.recomputed > 0);
    });
}

#[test]
fn slowness_stretches_every_step() {
    run(async {
        let engine = start_engine(settings()).await;
        fault(&engine, r#"{"slow": 20.0}"#).await;
        let clock = kernel::MonotonicClock::new();
        let reader = open(&engine, Method::POST, COMPLETIONS, &body("a1", 10, &[])).await;
        read_all(reader).await;
        let least = EngineSettings::default().base_cost.0 * 10;
        assert!(clock.now().0 >= least);
        assert!(LIMIT > TimeSpan(least));
    });
}
