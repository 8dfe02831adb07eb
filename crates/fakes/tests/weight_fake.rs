//! The weight store: its rate, and what it counts.

mod common;

use base::TimeSpan;
use common::{call, fault, get, run, start, status};
use fakes::{WeightFake, WeightSettings};
use hyper::Method;
use serde_json::json;

#[test]
fn loads_over_the_rate_are_refused_and_counted() {
    run(async {
        let settings = WeightSettings { transfer: TimeSpan::millis(5), loads_per_second: 2 };
        let weights = WeightFake::new(settings);
        let host = start(move |request| weights.clone().handle(request)).await;
        get(&host, "/weights/big").await;
        get(&host, "/weights/big").await;
        assert_eq!(status(call(&host, Method::GET, "/weights/small", "").await), 429);
        let stats = get(&host, "/stats").await;
        assert_eq!(stats, json!({ "loads": { "big": 2 }, "refused": 1, "highest_per_second": 3 }));
        fault(&host, r#"{"outage": true}"#).await;
        assert_eq!(status(call(&host, Method::GET, "/weights/big", "").await), 503);
    });
}
