//! Questions to the runners that have the memory of a stopped run, and since when they have answered all.
//!
//! Load pattern: the link of a node is full for seconds. As it opens, the answer to a question may come before that
//! to a request of long before, which lies in another connection.

use std::future::pending;
use std::rc::Rc;

use base::prelude::*;
use serving::{AnswerPlace, RunnerRecord};

use super::stream_places::{RunnerQuestion, ask_runner};
use crate::context::NodeContext;

/// Time in which what a full link has held back comes once it passes answers on.
const CATCH_UP_TIME: TimeSpan = TimeSpan::millis(500);
/// Time in which a question is answered over a link that is not full.
const PROMPT_TIME: TimeSpan = TimeSpan::millis(50);

/// The answers of a runner to questions, one after the other.
#[derive(Debug, Default)]
pub(super) struct AnswerSeries {
    /// When the first one came.
    since: Option<TimePoint>,
    /// A question was answered late, or not at all.
    was_silent: bool,
}

impl AnswerSeries {
    /// Records a question without an answer.
    pub(super) fn note_silence(&mut self) {
        *self = Self { since: None, was_silent: true };
    }

    /// Records an answer at `now` to a question of `asked_at`. Whether what was held back before the answers has come
    /// by then.
    pub(super) fn note_answer(&mut self, asked_at: TimePoint, now: TimePoint) -> bool {
        self.was_silent |= now.since(asked_at) >= PROMPT_TIME;
        let since = *self.since.get_or_insert(now);
        !self.was_silent || now.since(since) >= CATCH_UP_TIME
    }
}

/// The question where the runner of another place answers, while one has not answered in time.
pub(super) struct OtherQuestion {
    /// When it is asked.
    pub(super) look_at: TimePoint,
    pub(super) open: Option<RunnerQuestion>,
}

impl OtherQuestion {
    /// Asks `other` when it is time; waits forever if there is none.
    pub(super) async fn answer(
        &mut self,
        context: &Rc<NodeContext>,
        other: Option<RunnerRecord>,
    ) -> AnswerPlace {
        let Some(other) = other else { return pending().await };
        kernel::sleep(self.look_at.since(context.now()).into()).await;
        let open =
            self.open.get_or_insert_with(|| ask_runner(context, &other, TimeSpan::default()));
        open.await
    }
}
