//! The stop signal wakes all waiting tasks and keeps no wakers of waits that were dropped.

use base::TimeSpan;
use compio::time::timeout;
use kernel::StopSignal;

#[test]
fn raising_the_signal_wakes_all_waiting_tasks() {
    kernel::run(async {
        let stop = StopSignal::new();
        let waits: Vec<_> = (0..3)
            .map(|_| {
                let stop = stop.clone();
                kernel::spawn(async move { stop.wait().await })
            })
            .collect();
        kernel::sleep(TimeSpan::millis(1).into()).await;
        assert_eq!(stop.waiter_count(), 3);
        stop.raise();
        for wait in waits {
            wait.await.unwrap();
        }
        stop.wait().await;
    })
    .unwrap();
}

#[test]
fn dropping_a_wait_removes_its_waker() {
    kernel::run(async {
        let stop = StopSignal::new();
        for _ in 0..100 {
            let _ = timeout(TimeSpan::micros(1).into(), stop.wait()).await;
        }
        assert_eq!(stop.waiter_count(), 0);
    })
    .unwrap();
}
