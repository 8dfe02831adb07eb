//! New connections to a runner that has stopped accepting hang.

use std::time::Duration;

use compio::net::TcpStream;
use compio::time::{sleep, timeout};
use fakes::platform::{RunnerFake, RunnerFakeSettings, StreamMemory};

/// Time for which the thread of the stand-in is held at a time, and how often.
const HOLD: Duration = Duration::from_millis(120);
const HOLDS: usize = 10;
/// Time in which a connection would have come about.
const HANG_TIME: Duration = Duration::from_millis(500);

/// Guards against a queue that is taken for full since the thread of the stand-in was held while it
/// connected, so that the nodes under test reach a runner that they should not reach.
#[test]
fn connections_hang_also_if_the_thread_was_held_while_the_queue_was_filled() {
    kernel::run(async {
        let settings = RunnerFakeSettings::new("runner-1");
        let memory = StreamMemory::default();
        let address = "127.0.0.1:0".parse().unwrap();
        let runner = RunnerFake::start(address, settings, &memory).await.unwrap();
        kernel::spawn(async {
            for _ in 0..HOLDS {
                std::thread::sleep(HOLD);
                sleep(Duration::from_millis(1)).await;
            }
        })
        .detach();
        runner.stop_accepting().await;
        for _ in 0..3 {
            let connected = timeout(HANG_TIME, TcpStream::connect(runner.address())).await;
            assert!(connected.is_err(), "{connected:?}");
        }
        runner.resume_accepting();
        TcpStream::connect(runner.address()).await.unwrap();
    })
    .unwrap();
}
