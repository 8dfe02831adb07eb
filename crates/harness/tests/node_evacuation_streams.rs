//! Streams that are under way in a place while the operator evacuates it.

mod two_places;

use compio::time::sleep;
use fakes::platform::RunnerFake;
use futures_util::future::join_all;
use harness::{CallerRequest, WholeAnswer, wait_until};
use two_places::{APPLY_LIMIT, SOON, TwoPlaces};

/// Guards against streams that are cut off or run twice since their place is evacuated.
#[test]
fn a_stream_under_way_in_the_place_ends_whole_where_it_runs() {
    kernel::run(async {
        let places = TwoPlaces::start(2).await;
        let work = async |name: String| {
            let request = CallerRequest::stream(&name).with("x-dotterelyard-length-hint", "10");
            (places.fleet.send(0, &request).await, name)
        };
        let streams = join_all((0..6).map(|number| work(format!("s{number}"))));
        let (answers, ()) = futures_util::join!(streams, async {
            wait_until("streams in both places", APPLY_LIMIT, async || {
                (places.north[1].working() > 0 && places.south[1].working() > 0).then_some(())
            })
            .await
            .unwrap();
            places.evacuate("north");
            places.wait_events("place_evacuated", 1).await;
            assert!(places.north[1].working() > 0, "the streams are still at work");
        });
        for (answer, name) in answers {
            assert_eq!((answer.status, answer.complete), (200, true));
            let event = |number| format!("id: {number}\ndata: token {number} of {name}\n\n");
            assert_eq!(answer.text, (1..=150).map(event).collect::<String>());
        }
        let runs = places.north[1].runs() + places.south[1].runs();
        assert_eq!(runs, 6, "each stream ran once");
    })
    .unwrap();
}

/// Plays a stream that has a copy at the other runner, evacuates the place of its runner or that of
/// the copy, and lets its runner crash. Gives the answer and the runs of both runners.
async fn lose_runner(evacuate_copy: bool) -> (WholeAnswer, usize) {
    let places = TwoPlaces::start(1).await;
    let request = CallerRequest::stream("s1");
    let (answer, ()) = futures_util::join!(places.fleet.send(0, &request), async {
        let is_north = wait_until("the stream", APPLY_LIMIT, async || {
            let working = [&places.north[1], &places.south[1]].map(RunnerFake::working);
            (working != [0, 0]).then_some(working[0] == 1)
        })
        .await
        .unwrap();
        // The copy is complete.
        sleep(SOON / 4).await;
        let (runner, place, other) = if is_north {
            (&places.north[1], "north", "south")
        } else {
            (&places.south[1], "south", "north")
        };
        let evacuated = if evacuate_copy { other } else { place };
        places.evacuate(evacuated);
        places.wait_event_of(evacuated).await;
        runner.crash();
    });
    (answer, places.north[1].runs() + places.south[1].runs())
}

/// Guards against a stream that is lost although it has a copy outside of the evacuated place.
#[test]
fn a_stream_whose_runner_fails_in_the_place_resumes_at_its_copy_elsewhere() {
    let (answer, runs) = kernel::run(lose_runner(false)).unwrap();
    assert_eq!((answer.status, answer.complete, runs), (200, true, 2));
}

/// Guards against a resume at a copy in the evacuated place.
#[test]
fn a_stream_does_not_resume_at_a_copy_in_the_place() {
    let (answer, runs) = kernel::run(lose_runner(true)).unwrap();
    assert_eq!((answer.status, answer.complete, runs), (200, false, 1));
}
