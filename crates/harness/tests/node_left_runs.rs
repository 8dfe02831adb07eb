//! Runs that go on elsewhere while the runner before still works on them: each has to be ended there.

mod service_fleet;

use std::time::{Duration, Instant};

use compio::time::sleep;
use fakes::platform::RunnerFakeSettings;
use futures_util::future::{join, join_all};
use harness::{CallerRequest, LinkState, SeenStream};
use service_fleet::{CUT, LinkedRunner, RUNNERS, ServiceFleet, take_turn};

/// Events of a stream, one in 20 ms.
const EVENTS: u64 = 200;
/// Streams of a test; some runners have several.
const STREAMS: usize = 8;
/// Time from the begin of the streams to the disruption; their copies are complete by then.
const TROUBLE_AFTER: Duration = Duration::from_secs(1);
/// Time for which a node is cut off from the runners.
const CUT_TIME: Duration = Duration::from_secs(3);
/// Time for which a sound runner is silent.
const SILENCE: Duration = Duration::from_secs(1);
/// The same, for a runner that goes on while the next one is asked.
const SHORT_SILENCE: Duration = Duration::from_millis(850);
/// Time until the next runner answers, after it has begun.
const RESUME_TIME: Duration = Duration::from_millis(400);
/// How long two runners may work on one request.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
/// How often the runs at work are counted.
const COUNT_PAUSE: Duration = Duration::from_millis(5);

async fn start_fleet() -> ServiceFleet {
    start_slow_fleet(Duration::ZERO).await
}

/// A fleet whose runners answer a run that goes on from its memory after `resume_time`.
async fn start_slow_fleet(resume_time: Duration) -> ServiceFleet {
    ServiceFleet::start(|settings: &mut RunnerFakeSettings| {
        settings.events = EVENTS;
        settings.event_pause = Duration::from_millis(20);
        settings.resume_time = resume_time;
    })
    .await
}

/// Reads all streams through the node that may be cut off.
async fn read_streams(services: &ServiceFleet, count: usize) -> Vec<SeenStream> {
    let names: Vec<String> = (0..count).map(|number| format!("left-{number}")).collect();
    let requests: Vec<_> = names.iter().map(|name| CallerRequest::stream(name)).collect();
    let reads = requests.iter().map(|request| services.fleet.read_stream(CUT, request));
    join_all(reads).await
}

fn count_working(services: &ServiceFleet) -> usize {
    services.runners.iter().map(|linked| linked.runner.working()).sum()
}

/// The longest time for which more runs than `streams` were at work, until `end`.
async fn longest_overlap(services: &ServiceFleet, streams: usize, end: Instant) -> Duration {
    let (mut longest, mut last_alone) = (Duration::ZERO, Instant::now());
    while Instant::now() < end {
        sleep(COUNT_PAUSE).await;
        if count_working(services) <= streams {
            last_alone = Instant::now();
        }
        longest = longest.max(last_alone.elapsed());
    }
    longest
}

fn check_whole(streams: &[SeenStream]) {
    for stream in streams {
        assert!(stream.has_all(EVENTS), "{stream:?}");
    }
}

/// Guards against TWICE: connections hang, so that closing them ends no run, and the node that resumes the runs from
/// their copies orders only one of each runner to stop, and late.
#[test]
fn runs_that_another_node_resumes_are_ended_at_the_runners_before() {
    let _turn = take_turn();
    kernel::run(async {
        let services = start_fleet().await;
        let trouble = async {
            sleep(TROUBLE_AFTER).await;
            services.set("llm", usize::from(RUNNERS), LinkState::Stalled);
            let overlap = longest_overlap(&services, STREAMS, Instant::now() + CUT_TIME).await;
            services.set("llm", usize::from(RUNNERS), LinkState::Open);
            overlap
        };
        let (streams, overlap) = join(read_streams(&services, STREAMS), trouble).await;
        assert!(overlap <= MAX_OVERLAP, "{overlap:?}");
        check_whole(&streams);
        assert_eq!(services.most_runs(), 1);
    })
    .unwrap();
}

/// Guards against TWICE: a silent runner goes on with requests whose connections have closed, and only one of its
/// runs is ordered to stop, and late.
#[test]
fn runs_that_have_left_a_silent_runner_are_ended_as_it_goes_on() {
    let _turn = take_turn();
    kernel::run(async {
        let services = start_fleet().await;
        let trouble = async {
            sleep(TROUBLE_AFTER).await;
            let llm = services.runners.iter().filter(|linked| linked.service == "llm");
            let source = llm.max_by_key(|linked| linked.runner.working()).unwrap();
            assert!(source.runner.working() > 1);
            source.runner.ignore_closed_requests();
            source.runner.fall_silent();
            join(go_on_later(source), count_left(&services, source)).await.1
        };
        let (streams, left) = join(read_streams(&services, STREAMS), trouble).await;
        assert_eq!(left, 0);
        check_whole(&streams);
        assert_eq!(services.most_runs(), 1);
    })
    .unwrap();
}

/// Guards against TWICE: the silent runner goes on before the next one has answered, and the next one works on beside
/// it, since it goes on with requests whose connections have closed.
#[test]
fn runs_that_stay_at_a_runner_that_goes_on_are_ended_at_the_next_one() {
    let _turn = take_turn();
    kernel::run(async {
        let services = start_slow_fleet(RESUME_TIME).await;
        let trouble = async {
            sleep(TROUBLE_AFTER).await;
            services.runners.iter().for_each(|linked| linked.runner.ignore_closed_requests());
            let llm = services.runners.iter().filter(|linked| linked.service == "llm");
            let source = llm.max_by_key(|linked| linked.runner.working()).unwrap();
            source.runner.fall_silent();
            sleep(SHORT_SILENCE).await;
            source.runner.go_on();
            longest_overlap(&services, STREAMS, Instant::now() + CUT_TIME).await
        };
        let (streams, overlap) = join(read_streams(&services, STREAMS), trouble).await;
        assert!(overlap <= MAX_OVERLAP, "{overlap:?}");
        check_whole(&streams);
        assert_eq!(services.most_runs(), 1);
    })
    .unwrap();
}

async fn go_on_later(source: &LinkedRunner) {
    sleep(SILENCE).await;
    source.runner.go_on();
}

/// Runs at work at the silent source, as long after the last of them has gone on elsewhere as two may work on it.
async fn count_left(services: &ServiceFleet, source: &LinkedRunner) -> usize {
    while count_working(services) - source.runner.working() < STREAMS {
        sleep(COUNT_PAUSE).await;
    }
    sleep(MAX_OVERLAP).await;
    source.runner.working()
}
