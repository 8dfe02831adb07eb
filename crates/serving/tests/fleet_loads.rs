//! Sums of the loads and queued services that other nodes report.

use route::MemoryForecast;
use serving::{FleetLoads, NodeLoad, RunnerLoad};

fn load(runner: &str) -> RunnerLoad {
    let forecast = MemoryForecast::for_generation(300, [1.0, 0.9, 0.5, 0.1, 0.0]);
    RunnerLoad { runner: runner.parse().unwrap(), calls: 2, prefill_tokens: 100, forecast }
}

#[test]
fn the_load_of_a_removed_node_no_longer_counts() {
    let mut loads = FleetLoads::default();
    let one = NodeLoad {
        loads: vec![load("a"), load("b")],
        waiting_services: vec!["llm".parse().unwrap()],
    };
    let other = NodeLoad { loads: vec![load("a")], waiting_services: Vec::new() };
    assert!(loads.set("node-1".parse().unwrap(), one.clone()));
    assert!(!loads.set("node-1".parse().unwrap(), one), "unchanged load");
    loads.set("node-2".parse().unwrap(), other);
    let (a, llm) = ("a".parse().unwrap(), "llm".parse().unwrap());
    assert_eq!((loads.nodes_using(&a), loads.totals()[&a].tokens()), (2, 600));
    assert_eq!((loads.waiting_nodes(&llm), loads.waiting_nodes(&"desk".parse().unwrap())), (1, 0));
    loads.remove(&"node-1".parse().unwrap());
    assert_eq!((loads.nodes_using(&a), loads.waiting_nodes(&llm)), (1, 0));
}
