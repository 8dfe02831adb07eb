//! Polls that hold the event loop are timed, and name their task and step.

use std::time::Duration;

use base::TimeSpan;

/// Guards against a long step that nothing shows.
#[test]
fn the_longest_poll_names_its_task_and_its_last_step() {
    kernel::run(async {
        let _ = kernel::take_longest_hold();
        kernel::spawn(async { std::thread::sleep(Duration::from_millis(60)) }).await.unwrap();
        let long = async {
            kernel::sleep(Duration::from_millis(1)).await;
            kernel::mark_step("first");
            kernel::mark_step("second");
            std::thread::sleep(Duration::from_millis(200));
        };
        let line = line!() + 1;
        kernel::spawn(long).await.unwrap();
        let hold = kernel::take_longest_hold().unwrap();
        assert!(hold.span >= TimeSpan::millis(200), "{:?}", hold.span);
        assert_eq!((hold.task.line(), hold.step), (line, "second"));
        assert!(hold.task.file().ends_with("holds.rs"));
        assert!(kernel::take_longest_hold().is_none());
    })
    .unwrap();
}
