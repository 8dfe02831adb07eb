//! The scanner must return complete events in order, however the bytes are split into chunks.

use serving::{StreamError, StreamScanner};

fn stream(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: x{id}\n\n")).collect::<Vec<_>>().concat()
}

#[test]
fn every_chunk_size_yields_the_same_events() {
    let text = stream(1..=9);
    for size in 1..text.len() {
        let mut scanner = StreamScanner::default();
        let mut received = Vec::new();
        for chunk in text.as_bytes().chunks(size) {
            let complete = scanner.push(chunk).unwrap();
            assert!(complete.is_empty() || complete.ends_with(b"\n\n"), "{size}");
            received.extend(complete);
        }
        assert_eq!(received, text.as_bytes(), "{size}");
        assert_eq!(
            (scanner.last_id(), scanner.event_count(), scanner.has_partial_event()),
            (Some(9), 9, false)
        );
    }
}

#[test]
fn a_gap_a_repeated_id_or_a_missing_id_is_an_error() {
    let cases = [
        ("gap", "id: 1\n\nid: 3\n\n", StreamError::OutOfOrder { last: 1, found: 3 }),
        ("repeat", "id: 1\n\nid: 1\n\n", StreamError::OutOfOrder { last: 1, found: 1 }),
        ("none", "data: x\n\n", StreamError::MissingId),
    ];
    for (case, text, expected) in cases {
        assert_eq!(StreamScanner::default().push(text.as_bytes()), Err(expected), "{case}");
    }
}

#[test]
fn an_event_that_does_not_end_is_given_up_at_64_kib() {
    let mut scanner = StreamScanner::default();
    let mut pushed = 0;
    while scanner.push(&[b'x'; 4_096]).is_ok() {
        pushed += 4_096;
        assert!(pushed <= 64 << 10, "{pushed}");
    }
    assert_eq!(scanner.push(b"x"), Err(StreamError::TooLong));
}

#[test]
fn a_stream_continues_after_a_discarded_partial_event() {
    let mut scanner = StreamScanner::default();
    scanner.push(b"id: 1\n\nid: 2\ndata: ha").unwrap();
    assert!(scanner.has_partial_event());
    scanner.discard_partial_event();
    assert_eq!(scanner.push(b"id: 2\ndata: half\n\n").unwrap(), b"id: 2\ndata: half\n\n");
    assert_eq!(scanner.last_id(), Some(2));
}

/// Guards against a resumed stream whose first event the caller already has, or that leaves one
/// out.
#[test]
fn the_first_event_of_a_resumed_stream_follows_the_last_one_that_was_received() {
    assert_eq!(StreamScanner::after(Some(5)).push(b"id: 6\n\n").unwrap(), b"id: 6\n\n");
    for (found, event) in [(1, "id: 1\n\n"), (5, "id: 5\n\n"), (7, "id: 7\n\n")] {
        let outcome = StreamScanner::after(Some(5)).push(event.as_bytes());
        assert_eq!(outcome, Err(StreamError::OutOfOrder { last: 5, found }));
    }
    assert!(StreamScanner::after(None).push(b"id: 7\n\n").is_ok());
}

/// Guards against events that a caller gets twice, from a source and from the node that moves its run.
#[test]
fn events_that_come_again_after_a_move_are_skipped_once() {
    let mut scanner = StreamScanner::default();
    scanner.push(stream(1..=5).as_bytes()).unwrap();
    scanner.skip_repeats();
    assert_eq!(scanner.push(stream(3..=4).as_bytes()).unwrap(), b"");
    let text = stream(5..=7);
    let new = stream(6..=7);
    assert_eq!(scanner.push(text.as_bytes()).unwrap(), new.as_bytes());
    assert_eq!((scanner.last_id(), scanner.event_count()), (Some(7), 7));
    let repeated = Err(StreamError::OutOfOrder { last: 7, found: 7 });
    assert_eq!(scanner.push(stream(7..=7).as_bytes()), repeated);
    scanner.skip_repeats();
    let gap = Err(StreamError::OutOfOrder { last: 7, found: 9 });
    assert_eq!(scanner.push(stream(9..=9).as_bytes()), gap);
}
