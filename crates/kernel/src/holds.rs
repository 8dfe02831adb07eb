//! How long single polls hold the event loop, and what they do.
//!
//! Load pattern: one step that takes long, or repeats without waiting, keeps all other tasks of the
//! process from running. Only the longest poll since the last look is kept.

use std::cell::Cell;
use std::panic::Location;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;

use base::TimeSpan;
use compio::runtime::JoinHandle;

thread_local! {
    /// The longest poll since the last look.
    static LONGEST: Cell<Option<LoopHold>> = const { Cell::new(None) };
    /// Whether the event loop of this thread has ended; what it still holds is dropped then.
    static HAS_ENDED: Cell<bool> = const { Cell::new(false) };
    /// The last step that the current poll has marked.
    static STEP: Cell<&'static str> = const { Cell::new("") };
}

/// A poll of a task, during which no other task ran.
#[derive(Debug, Clone, Copy)]
pub struct LoopHold {
    /// How long it took.
    pub span: TimeSpan,
    /// Where the task was spawned.
    pub task: &'static Location<'static>,
    /// The last step that it marked; empty if none.
    pub step: &'static str,
}

/// Marks what the current poll does from here on; see [`LoopHold::step`].
pub fn mark_step(step: &'static str) {
    STEP.set(step);
}

/// Returns the longest poll of a spawned task on this thread since the last call.
#[must_use]
pub fn take_longest_hold() -> Option<LoopHold> {
    LONGEST.take()
}

/// Runs a future on the event loop of this thread, and times its polls.
#[track_caller]
pub fn spawn<F: Future + 'static>(future: F) -> JoinHandle<F::Output> {
    compio::runtime::spawn(TimedTask { task: Location::caller(), future: Box::pin(future) })
}

/// Like [`spawn`], for what is left to do when something is dropped: it is dropped as well if the event loop has
/// ended.
#[track_caller]
pub fn spawn_rest(future: impl Future<Output = ()> + 'static) {
    if !HAS_ENDED.get() {
        spawn(future).detach();
    }
}

/// Records whether the event loop of this thread has ended.
pub(crate) fn set_ended(has_ended: bool) {
    HAS_ENDED.set(has_ended);
}

/// A task whose polls are timed.
struct TimedTask<F> {
    task: &'static Location<'static>,
    future: Pin<Box<F>>,
}

impl<F: Future> Future for TimedTask<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        STEP.set("");
        let begun = Instant::now();
        let polled = self.future.as_mut().poll(cx);
        let span = TimeSpan::micros(u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX));
        if LONGEST.get().is_none_or(|longest| longest.span < span) {
            LONGEST.set(Some(LoopHold { span, task: self.task, step: STEP.get() }));
        }
        polled
    }
}
