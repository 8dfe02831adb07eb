//! Route look-up by host and longest path prefix, and weights of split routes.

use std::collections::BTreeMap;
use std::rc::Rc;

use base::prelude::*;
use serving::{PlanVersion, RequestLimits, RouteKind, RouteRule, RouteTarget, ServingPlan};

fn rule(host: &str, prefix: &str) -> RouteRule {
    let target = |name: &str, weight| RouteTarget { service: name.parse().unwrap(), weight };
    RouteRule {
        name: Arc::from(format!("{host}{prefix}")),
        host: Arc::from(host),
        prefix: Arc::from(prefix),
        targets: vec![target("a", 90), target("b", 10)],
        kind: RouteKind::Idempotent,
        timeout: TimeSpan::seconds(1),
        target_latency: TimeSpan::millis(100),
        gap_target: None,
        priority: 0,
        max_attempts: 2,
        is_public: false,
        stream_resume: false,
    }
}

fn plan(rules: &[RouteRule]) -> ServingPlan {
    let mut routes: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Rc<RouteRule>>> = BTreeMap::new();
    for rule in rules {
        let host = routes.entry(rule.host.clone()).or_default();
        host.insert(rule.prefix.clone(), Rc::new(rule.clone()));
    }
    ServingPlan {
        version: PlanVersion(1),
        routes,
        services: BTreeMap::new(),
        keys: None,
        limits: RequestLimits {
            max_head_bytes: 1,
            max_body_bytes: 1,
            idle_timeout: TimeSpan::seconds(1),
        },
    }
}

#[test]
fn the_longest_prefix_that_begins_the_path_wins() {
    let plan = plan(&[rule("h", "/"), rule("h", "/a/"), rule("h", "/a/b/"), rule("g", "/c/")]);
    let cases = [
        ("h", "/a/b/c"),
        ("h", "/a/b"),
        ("h", "/a/bc/d"),
        ("h", "/ab"),
        ("H:8740", "/a/x"),
        ("g", "/c"),
        ("g", "/c/"),
        ("other", "/a/"),
        ("", ""),
    ];
    let found = cases.map(|(host, path)| {
        let name = plan.find_route(host, path).map(|route| route.name.to_string());
        format!("{host} {path} -> {}", name.unwrap_or_default())
    });
    insta::assert_debug_snapshot!(found);
}

#[test]
fn a_split_route_picks_services_by_weight() {
    let rule = rule("h", "/");
    let first = |draw| rule.pick_service(draw).unwrap().as_str() == "a";
    let share = (0..1_000).filter(|step| first(f64::from(*step) / 1_000.0)).count();
    assert_eq!(share, 900);
}

#[test]
fn a_route_of_a_build_without_pause_bounds_can_be_read() {
    let known = RouteRule { gap_target: Some(TimeSpan::millis(180)), ..rule("h", "/") };
    let mut json = serde_json::to_value(&known).unwrap();
    assert_eq!(serde_json::from_value::<RouteRule>(json.clone()).unwrap(), known);
    json.as_object_mut().unwrap().remove("gap_target").unwrap();
    assert_eq!(serde_json::from_value::<RouteRule>(json).unwrap(), rule("h", "/"));
    let unset = serde_json::to_value(rule("h", "/")).unwrap();
    assert!(unset.get("gap_target").is_none(), "older builds are sent nothing new");
}
