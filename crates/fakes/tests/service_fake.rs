//! The plain service: what ran, and what its caller was told.

mod common;

use base::TimeSpan;
use common::{LIMIT, fault, get, run, start, status, wait_for};
use fakes::{FakeHost, ServiceFake, ServiceSettings};
use futures_util::future::join;
use hyper::Request;
use serde_json::{Value, json};
use web::{WebError, full_body, read_bounded, send_once};

async fn start_service() -> FakeHost {
    let settings = ServiceSettings { runner: "bookings-1".parse().unwrap(), incarnation: 7 };
    let service = ServiceFake::new(settings);
    start(move |request| service.clone().handle(request)).await
}

async fn book(host: &FakeHost, key: &str, limit: TimeSpan) -> Result<Value, WebError> {
    let peer = host.address();
    let request = Request::post("/bookings").header("idempotency-key", key).body(full_body("{}"));
    let response = send_once(peer, request.unwrap(), LIMIT, limit).await?;
    let status = response.status().as_u16();
    let bytes = read_bounded("booking", response.into_body(), 1 << 10).await?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    if status >= 400 {
        return Err(WebError::Status { step: "booking", peer, status, text });
    }
    Ok(serde_json::from_str(&text).unwrap())
}

#[test]
fn bookings_count_by_key_and_lookups_repeat() {
    run(async {
        let service = start_service().await;
        let once = book(&service, "k1", LIMIT).await.unwrap();
        assert_eq!(once, json!({ "booking": "k1", "count": 1 }));
        assert_eq!(book(&service, "k1", LIMIT).await.unwrap()["count"], json!(2));
        book(&service, "k2", LIMIT).await.unwrap();
        assert_eq!(get(&service, "/tickets/t9").await["ticket"], json!("t9"));
        assert_eq!(get(&service, "/counts").await, json!({ "k1": 2, "k2": 1 }));
        assert_eq!(get(&service, "/calls").await, json!({ "/bookings": 3, "/tickets": 1 }));
        assert_eq!(status(book(&service, "", LIMIT).await), 400);
    });
}

#[test]
fn a_refused_call_did_not_run() {
    run(async {
        let service = start_service().await;
        fault(&service, r#"{"refuse": true}"#).await;
        assert_eq!(status(book(&service, "k", LIMIT).await), 503);
        assert_eq!(get(&service, "/counts").await, json!({}));
        fault(&service, r#"{"refuse": false}"#).await;
        book(&service, "k", LIMIT).await.unwrap();
    });
}

#[test]
fn a_lost_answer_leaves_its_effect() {
    run(async {
        let service = start_service().await;
        fault(&service, r#"{"lose_answer": 1}"#).await;
        assert_eq!(status(book(&service, "k", LIMIT).await), 0);
        assert_eq!(get(&service, "/counts").await, json!({ "k": 1 }));
        assert_eq!(book(&service, "k", LIMIT).await.unwrap()["count"], json!(2));
    });
}

#[test]
fn a_hanging_call_runs_and_is_never_answered() {
    run(async {
        let service = start_service().await;
        fault(&service, r#"{"hang": true}"#).await;
        let end = async {
            let ran = async || (get(&service, "/counts").await == json!({ "k": 1 })).then_some(());
            wait_for(ran).await;
            fault(&service, r#"{"hang": false}"#).await;
        };
        let (hung, ()) = join(book(&service, "k", LIMIT), end).await;
        assert_eq!(status(hung), 0);
    });
}

#[test]
fn a_call_runs_to_its_end_when_its_caller_leaves() {
    run(async {
        let service = start_service().await;
        fault(&service, r#"{"delay": {"before_ms": 500}}"#).await;
        let left = book(&service, "k", TimeSpan::millis(20)).await;
        assert!(matches!(left, Err(WebError::Deadline { .. })));
        assert_eq!(get(&service, "/counts").await, json!({}), "it waits before it runs");
        assert_eq!(get(&service, "/load").await["running"], json!(1));
        let ran = async || (get(&service, "/counts").await == json!({ "k": 1 })).then_some(());
        wait_for(ran).await;
    });
}

#[test]
fn the_report_tells_that_it_leaves() {
    run(async {
        let service = start_service().await;
        fault(&service, r#"{"leaving": true}"#).await;
        let report: base::RunnerReport =
            serde_json::from_value(get(&service, "/load").await).unwrap();
        assert!(report.leaving);
        assert_eq!((report.incarnation, report.total_blocks.0), (7, 0));
    });
}
