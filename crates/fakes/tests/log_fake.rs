//! The log: offsets, retention, long polls, and each fault.

mod common;

use base::{LogOffset, TimeSpan};
use common::{LIMIT, call, fault, get, post, run, start, status, wait_for};
use fakes::{FakeHost, LogFake, LogSettings};
use futures_util::future::join;
use hyper::Method;
use serde_json::{Value, json};

const RECORDS: &str = "/streams/config/records";

async fn start_log(settings: LogSettings) -> FakeHost {
    let log = LogFake::new(settings);
    start(move |request| log.clone().handle(request)).await
}

async fn texts(host: &FakeHost) -> Vec<String> {
    let page = get(host, &format!("{RECORDS}?from=1")).await;
    let records = page["records"].as_array().unwrap().clone();
    records.iter().map(|record| record["text"].as_str().unwrap().to_owned()).collect()
}

#[test]
fn texts_come_back_byte_for_byte_at_growing_offsets() {
    run(async {
        let log = start_log(LogSettings::default()).await;
        let odd = "{\"a\": \"é\\u0000\"}\r\n\t\u{0} // <raw> \u{1F45E}\n";
        assert_eq!(post(&log, RECORDS, odd).await.unwrap(), json!({ "offset": 1 }));
        assert_eq!(post(&log, RECORDS, "").await.unwrap(), json!({ "offset": 2 }));
        let other = post(&log, "/streams/orders/records", "x").await.unwrap();
        assert_eq!(other, json!({ "offset": 1 }), "streams count for themselves");
        assert_eq!(texts(&log).await, [odd, ""]);
        let page = get(&log, &format!("{RECORDS}?from=2&max=1")).await;
        assert_eq!((&page["first"], &page["next"]), (&json!(1), &json!(3)));
        assert_eq!(page["records"][0]["offset"], json!(LogOffset(2)));
    });
}

#[test]
fn retention_by_number_moves_the_first_offset() {
    run(async {
        let log = start_log(LogSettings { keep_records: 2, ..LogSettings::default() }).await;
        for text in ["a", "b", "c"] {
            post(&log, RECORDS, text).await.unwrap();
        }
        let page = get(&log, &format!("{RECORDS}?from=1")).await;
        assert_eq!((&page["first"], &page["next"]), (&json!(2), &json!(4)));
        assert_eq!(page["records"][0]["offset"], json!(2));
        assert_eq!(texts(&log).await, ["b", "c"]);
    });
}

#[test]
fn retention_by_age_empties_a_stream_but_keeps_its_offsets() {
    run(async {
        let log = start_log(LogSettings::default()).await;
        post(&log, RECORDS, "a").await.unwrap();
        fault(&log, r#"{"keep_ms": 1}"#).await;
        wait_for(async || texts(&log).await.is_empty().then_some(())).await;
        let page = get(&log, RECORDS).await;
        assert_eq!((&page["first"], &page["next"]), (&json!(2), &json!(2)));
        fault(&log, r#"{"keep_ms": 0}"#).await;
        assert_eq!(post(&log, RECORDS, "b").await.unwrap(), json!({ "offset": 2 }));
    });
}

#[test]
fn a_long_poll_waits_for_the_next_record() {
    run(async {
        let log = start_log(LogSettings::default()).await;
        let path = format!("{RECORDS}?from=1&wait_ms={}", LIMIT.as_millis());
        let read = get(&log, &path);
        let append = async {
            kernel::sleep(TimeSpan::millis(20).into()).await;
            post(&log, RECORDS, "late").await.unwrap();
        };
        let (page, ()) = join(read, append).await;
        assert_eq!(page["records"][0]["text"], json!("late"));
        let empty = get(&log, &format!("{RECORDS}?from=2&wait_ms=10")).await;
        assert_eq!(empty["records"], json!([]));
    });
}

#[test]
fn a_lost_answer_comes_after_the_effect() {
    run(async {
        let log = start_log(LogSettings::default()).await;
        fault(&log, r#"{"lose_answer": 1}"#).await;
        assert_eq!(status(post(&log, RECORDS, "lost").await), 0);
        assert_eq!(post(&log, RECORDS, "kept").await.unwrap(), json!({ "offset": 2 }));
        assert_eq!(texts(&log).await, ["lost", "kept"]);
    });
}

#[test]
fn an_outage_refuses_everything_and_takes_nothing() {
    run(async {
        let log = start_log(LogSettings::default()).await;
        fault(&log, r#"{"outage": "refuse"}"#).await;
        assert_eq!(status(post(&log, RECORDS, "a").await), 503);
        assert_eq!(status(call(&log, Method::GET, RECORDS, "").await), 503);
        fault(&log, r#"{"outage": "off"}"#).await;
        assert_eq!(texts(&log).await, [""; 0]);
    });
}

#[test]
fn a_hanging_outage_answers_nothing_and_takes_nothing() {
    run(async {
        let log = start_log(LogSettings::default()).await;
        fault(&log, r#"{"outage": "hang"}"#).await;
        let limit = TimeSpan::millis(100);
        let body = "a".into();
        let hung = web::fetch("append", Method::POST, log.address(), RECORDS, body, limit);
        assert!(matches!(hung.await, Err(web::WebError::Deadline { .. })));
        let end = async {
            kernel::sleep(TimeSpan::millis(200).into()).await;
            fault(&log, r#"{"outage": "off"}"#).await;
        };
        let (waiting, ()) = join(post(&log, RECORDS, "b"), end).await;
        assert_eq!(status(waiting), 0, "its connection closes when the outage ends");
        assert_eq!(texts(&log).await, [""; 0]);
    });
}

#[test]
fn appends_over_the_rate_are_refused() {
    run(async {
        let log = start_log(LogSettings { appends_per_second: 2, ..LogSettings::default() }).await;
        post(&log, RECORDS, "a").await.unwrap();
        post(&log, RECORDS, "b").await.unwrap();
        assert_eq!(status(post(&log, RECORDS, "c").await), 429);
        let offset = wait_for(async || post(&log, RECORDS, "d").await.ok()).await;
        assert_eq!(offset, json!({ "offset": 3 }));
    });
}

#[test]
fn slowness_delays_every_call() {
    run(async {
        let log = start_log(LogSettings::default()).await;
        fault(&log, r#"{"slow_ms": 50}"#).await;
        let clock = kernel::MonotonicClock::new();
        let _: Value = get(&log, RECORDS).await;
        assert!(clock.now().0 >= 50_000);
    });
}
