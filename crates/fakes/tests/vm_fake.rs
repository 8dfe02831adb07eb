//! The VM list: replacement, single changes, lag and outage.

mod common;

use base::TimeSpan;
use common::{call, fault, get, post, run, start, status, wait_for};
use fakes::{FakeHost, VmFake, VmSettings, VmTable};
use hyper::Method;
use serde_json::{Value, json};

fn entry(vm: &str) -> Value {
    json!({
        "vm": vm, "place": "lekki", "role": "entry", "service": null,
        "address": "127.0.0.1:1", "steward": "127.0.0.1:2", "state": "live",
    })
}

fn table(names: &[&str]) -> Value {
    json!({ "vms": names.iter().map(|vm| entry(vm)).collect::<Vec<_>>() })
}

async fn start_vms(lag: TimeSpan, names: &[&str]) -> FakeHost {
    let table: VmTable = serde_json::from_value(table(names)).unwrap();
    let vms = VmFake::new(VmSettings { lag, table });
    start(move |request| vms.clone().handle(request)).await
}

#[test]
fn the_list_is_replaced_and_changed_by_line() {
    run(async {
        let vms = start_vms(TimeSpan::default(), &[]).await;
        assert_eq!(get(&vms, "/vms").await, json!({ "vms": [] }));
        let two = table(&["a", "b"]);
        call(&vms, Method::PUT, "/vms", &two.to_string()).await.unwrap();
        assert_eq!(get(&vms, "/vms").await, two);
        post(&vms, "/vms/a", r#"{"state": "leaving"}"#).await.unwrap();
        post(&vms, "/vms/b", r#"{"state": "gone"}"#).await.unwrap();
        let left = get(&vms, "/vms").await;
        assert_eq!(left["vms"].as_array().unwrap().len(), 1);
        assert_eq!(left["vms"][0]["state"], json!("leaving"));
        assert_eq!(status(post(&vms, "/vms/b", r#"{"state": "live"}"#).await), 404);
        assert_eq!(status(post(&vms, "/vms/a", r#"{"state": "asleep"}"#).await), 400);
    });
}

#[test]
fn reads_lag_behind_changes() {
    run(async {
        let vms = start_vms(TimeSpan::seconds(3_600), &["a"]).await;
        assert_eq!(get(&vms, "/vms").await, table(&["a"]), "the first list has no lag");
        post(&vms, "/vms/a", r#"{"state": "gone"}"#).await.unwrap();
        assert_eq!(get(&vms, "/vms").await, table(&["a"]));
        fault(&vms, r#"{"lag_ms": 20}"#).await;
        wait_for(async || (get(&vms, "/vms").await == table(&[])).then_some(())).await;
    });
}

#[test]
fn an_outage_ends_reads_only() {
    run(async {
        let vms = start_vms(TimeSpan::default(), &["a"]).await;
        fault(&vms, r#"{"outage": true}"#).await;
        assert_eq!(status(call(&vms, Method::GET, "/vms", "").await), 503);
        post(&vms, "/vms/a", r#"{"state": "gone"}"#).await.unwrap();
        fault(&vms, r#"{"outage": false}"#).await;
        assert_eq!(get(&vms, "/vms").await, table(&[]));
    });
}
