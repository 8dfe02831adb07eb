//! The whole path, end to end, by real processes.

use harness::{StackPlan, TestCaller, TestStack};

const PLACES: [&str; 3] = ["caerdydd", "abertawe", "wrecsam"];

fn plan() -> StackPlan {
    let models = ["repair-summary", "repair-tag"];
    StackPlan::default()
        .with_vms(3, &PLACES)
        .with_runners("summaries", 3, &PLACES, &models, &[])
        .with_runners("bookings", 2, &PLACES, &[], &[])
        .with_files(concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/cobbler"))
}

#[test]
fn every_kind_of_call_is_served_by_every_entry() {
    kernel::run(async {
        let stack = TestStack::start(plan()).await.unwrap();
        let caller = TestCaller::new("sample-key-counter-caerdydd");
        for vm in ["vm-1", "vm-2", "vm-3"] {
            let entry = stack.entry(vm);
            let prompt = format!("[[length 20]] history of pair 7 at {vm}");
            let mut stream = caller.stream(entry, "repair-summary", &prompt, 20_000).await.unwrap();
            stream.read_all().await.unwrap();
            let indexes: Vec<u64> = stream.tokens.iter().map(|(index, _)| *index).collect();
            assert_eq!(indexes, (0..20).collect::<Vec<u64>>(), "{vm}: {:?}", stream.error);
            assert!(stream.done);

            let whole = caller.complete(entry, "repair-tag", &prompt, 20_000).await.unwrap();
            assert_eq!((whole.status, whole.body["tokens"].as_u64()), (200, Some(20)));

            let path = "/v1/services/bookings/tickets/7";
            let ticket = caller.send(entry, "GET", path, &[], "").await.unwrap();
            assert_eq!(ticket.status, 200, "{ticket:?}");

            let tag = caller.home_tag(entry).await.unwrap();
            let key = format!("booking-{vm}");
            let booked = caller.book(entry, "bookings", &key, &tag, 10_000).await.unwrap();
            assert_eq!(booked.body["count"].as_u64(), Some(1), "{booked:?}");
        }
    })
    .unwrap();
}
