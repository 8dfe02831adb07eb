//! The stop signal: who waits is woken, and who no longer waits leaves nothing behind.

use base::TimeSpan;
use compio::time::timeout;
use kernel::StopSignal;

#[test]
fn all_who_wait_are_woken() {
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
fn a_wait_that_is_given_up_leaves_nothing_behind() {
    kernel::run(async {
        let stop = StopSignal::new();
        for _ in 0..100 {
            let _ = timeout(TimeSpan::micros(1).into(), stop.wait()).await;
        }
        assert_eq!(stop.waiter_count(), 0);
    })
    .unwrap();
}
