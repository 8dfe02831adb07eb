//! Checks where the memory of runs can be used.

use std::net::SocketAddr;

use fakes::platform::StreamMemory;

fn place(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// Memory of run `r` at runner 1, behind the link 11, with a copy under its id at runner 2.
fn begin() -> StreamMemory {
    let memory = StreamMemory::default();
    memory.add_link(place(11), place(1));
    memory.begin("r", Some("127.0.0.1:2"));
    memory
}

#[test]
fn a_handle_is_used_once_at_the_runner_with_the_copy_or_at_a_source_that_stopped() {
    for places in [vec![place(2)], vec![place(1)], vec![place(1), place(2)]] {
        for at in [place(1), place(2), place(3)] {
            let memory = begin();
            let (handle, _) = memory.copy("r", place(1), places.clone()).unwrap();
            let from = format!("127.0.0.1:11/{handle}");
            assert!(!memory.take(&format!("127.0.0.1:3/{handle}"), "r", at));
            assert!(!memory.take(&from, "other", at));
            assert_eq!(memory.take(&from, "r", at), places.contains(&at), "{places:?} {at}");
            assert!(!memory.take(&from, "r", at) || !places.contains(&at));
        }
    }
}

#[test]
fn a_copy_under_the_id_of_its_run_is_used_once_at_its_runner_until_the_run_has_ended() {
    let (memory, from) = (begin(), "127.0.0.1:2/r");
    assert!(!memory.take(from, "r", place(3)));
    assert!(!memory.take("127.0.0.1:1/r", "r", place(2)));
    assert!(memory.take(from, "r", place(2)));
    assert!(!memory.take(from, "r", place(2)));
    let memory = begin();
    memory.end("r");
    assert!(!memory.take(from, "r", place(2)));
}

#[test]
fn a_handle_is_freed_at_both_ends_by_its_source_and_elsewhere_only_there() {
    for (at, is_left) in [(place(1), false), (place(2), true), (place(3), true)] {
        let memory = begin();
        let (handle, _) = memory.copy("r", place(1), vec![place(1), place(2)]).unwrap();
        assert_eq!(memory.free(&handle, at), at != place(3));
        assert_eq!(memory.take(&format!("127.0.0.1:1/{handle}"), "r", place(1)), is_left);
    }
}
