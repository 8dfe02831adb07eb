//! The JSON that nodes fetch from each other must keep its field names, so that nodes of
//! two builds can exchange a plan and a runner list during a rolling upgrade.

use std::collections::BTreeMap;
use std::rc::Rc;

use base::prelude::*;
use serving::{
    EngineLimits, PlanVersion, RequestLimits, RouteKind, RouteRule, RouteTarget, RunnerRecord,
    ServicePlan, ServingPlan, TenantRule,
};

fn rule() -> RouteRule {
    RouteRule {
        name: Arc::from("route"),
        host: Arc::from("h"),
        prefix: Arc::from("/"),
        targets: vec![RouteTarget { service: "llm".parse().unwrap(), weight: 1 }],
        kind: RouteKind::AtMostOnce,
        timeout: TimeSpan::millis(2),
        target_latency: TimeSpan::millis(1),
        gap_target: None,
        priority: 1,
        max_attempts: 2,
        is_public: true,
        stream_resume: false,
    }
}

#[test]
fn a_plan_keeps_its_json_names() {
    let engine = EngineLimits {
        slots: 8,
        kv_capacity: TokenCount(100),
        kv_token_bytes: 64,
        link_mbps: 10.0,
        supports_moves: true,
        supports_backups: true,
        event_tokens: 1,
    };
    let tenant = TenantRule { workspace: "w".parse().unwrap(), priority: Some(1) };
    let service = ServicePlan {
        max_connections: 4,
        health_path: Some("/up".into()),
        engine: Some(engine),
        cold: None,
    };
    let plan = ServingPlan {
        version: PlanVersion(1),
        routes: BTreeMap::from([(
            Arc::from("h"),
            BTreeMap::from([(Arc::from("/"), Rc::new(rule()))]),
        )]),
        services: BTreeMap::from([("llm".parse().unwrap(), service)]),
        keys: Some(BTreeMap::from([(Arc::from("key"), tenant)])),
        limits: RequestLimits {
            max_head_bytes: 1,
            max_body_bytes: 2,
            idle_timeout: TimeSpan::millis(3),
        },
    };
    insta::assert_json_snapshot!(plan);
}

#[test]
fn a_runner_record_keeps_its_json_names() {
    let record = RunnerRecord {
        runner: "a".parse().unwrap(),
        service: "llm".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        place: "north".parse().unwrap(),
        slots: 8,
        leaving: false,
        started_unix_ms: 1,
    };
    insta::assert_json_snapshot!(record);
}

/// Guards against a configuration that one of two builds cannot read: earlier ones do not send the
/// field, and get no field that is false.
#[test]
fn a_route_can_be_exchanged_with_builds_that_do_not_know_stream_resume() {
    let mut json = serde_json::to_value(rule()).unwrap();
    assert!(json.get("stream_resume").is_none(), "{json}");
    assert_eq!(serde_json::from_value::<RouteRule>(json.clone()).unwrap(), rule());
    let resumable = RouteRule { kind: RouteKind::Stream, stream_resume: true, ..rule() };
    let sent = serving::encode_state(&resumable).unwrap();
    assert_eq!(serving::decode_state::<RouteRule>(&sent).unwrap(), resumable);
    // A field of a later build is skipped, as an earlier build skips this one.
    json["field_of_a_later_build"] = serde_json::json!([1]);
    assert_eq!(serde_json::from_value::<RouteRule>(json).unwrap(), rule());
}
