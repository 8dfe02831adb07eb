//! Sums of the loads and queued services that other nodes report.

use serving::{FleetLoads, NodeLoad, RunnerLoad};

fn load(runner: &str) -> RunnerLoad {
    RunnerLoad { runner: runner.parse().unwrap(), calls: 2, prefill_tokens: 100, tokens: 300 }
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
    assert_eq!((loads.nodes_using(&a), loads.totals()[&a].tokens), (2, 600));
    assert!(loads.has_waiting_calls(&llm) && !loads.has_waiting_calls(&"desk".parse().unwrap()));
    loads.remove(&"node-1".parse().unwrap());
    assert_eq!((loads.nodes_using(&a), loads.has_waiting_calls(&llm)), (1, false));
}
