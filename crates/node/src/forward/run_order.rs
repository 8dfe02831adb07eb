//! Orders to stop runs that this node gives for another one, and what they have left.
//!
//! Load pattern: a runner stops a run at once and answers seconds later, while its next runner is silent. The
//! node that waits for the run gives up or asks again; the memory of the run waits for it here.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use kernel::StopSignal;
use platform::{AttemptId, PlatformError};
use serving::RunnerRecord;

use crate::call::Call;
use crate::call_log::{log_send_failure, may_log};
use crate::context::NodeContext;
use crate::streams::{CopyTask, RunCopy};

/// An order to stop a run. It is waited for by a task of its own, so that its answer is not lost.
#[derive(Clone)]
pub struct RunOrder {
    answered: StopSignal,
    answer: Rc<RefCell<Option<platform::Result<RunCopy>>>>,
}

impl RunOrder {
    /// Orders `source` to stop the run of `call`, and to copy its memory to `to`. Its answer is
    /// waited for until the call's deadline.
    #[must_use]
    pub fn give(
        context: &Rc<NodeContext>,
        call: &Rc<Call>,
        source: &RunnerRecord,
        to: SocketAddr,
    ) -> Self {
        let order = Self { answered: StopSignal::new(), answer: Rc::default() };
        let left = call.deadline.since(context.now());
        let task = CopyTask::stop_within(context, call, source, to, left);
        let kept = order.clone();
        kernel::spawn_rest(async move {
            let answer = task.await;
            kept.answer.replace(Some(answer));
            kept.answered.raise();
        });
        order
    }

    /// Waits until it is answered, or is known to stay without an answer.
    pub async fn wait(&self) {
        self.answered.wait().await;
    }

    /// Whether the runner has answered that it has stopped the run.
    #[must_use]
    pub fn has_memory(&self) -> bool {
        self.answer.borrow().as_ref().is_some_and(Result::is_ok)
    }

    /// Whether the runner may have stopped the run, without saying where its memory is.
    #[must_use]
    pub fn is_open(&self) -> bool {
        match &*self.answer.borrow() {
            None => true,
            Some(Ok(_)) => false,
            Some(Err(error)) => error.is_outcome_unknown(),
        }
    }

    /// Whether the runner does not have the run.
    #[must_use]
    pub fn is_not_found(&self) -> bool {
        let answer = self.answer.borrow();
        answer
            .as_ref()
            .is_some_and(|answer| answer.as_ref().is_err_and(PlatformError::is_not_found))
    }

    /// What the order has left; `None` if it has failed or is not answered.
    #[must_use]
    pub fn take_memory(&self) -> Option<RunCopy> {
        let mut answer = self.answer.borrow_mut();
        answer.take_if(|answer| answer.is_ok())?.ok()
    }

    /// Logs why the order has failed, if it has.
    pub fn log_failure(&self, context: &NodeContext, call: &Call, source: &RunnerRecord) {
        if let Some(Err(error)) = &*self.answer.borrow() {
            log_send_failure(context, call, &source.runner, &error.to_string());
        }
    }
}

/// A run that was ordered to stop, of which nobody knows yet where it goes on.
pub struct LateOrder {
    /// The runner that was to stop it.
    pub source: RunnerRecord,
    /// The next runner.
    pub target: RunnerRecord,
    /// The order.
    pub order: RunOrder,
    /// The copy at the next runner, if there is one.
    pub copy: Option<RunCopy>,
}

/// Such runs, by call.
#[derive(Default)]
pub struct LateOrders(RefCell<BTreeMap<AttemptId, LateOrder>>);

impl LateOrders {
    /// Whether this node has ordered the run of a call to stop at `source`.
    #[must_use]
    pub fn has(&self, attempt: &AttemptId, source: &RunnerId) -> bool {
        let orders = self.0.borrow();
        orders.get(attempt).is_some_and(|late| late.source.runner == *source)
    }

    /// Takes the order to stop the run of a call at `source`, if this node has given one. The run may have gone on
    /// elsewhere meanwhile, and be offered from there.
    #[must_use]
    pub fn take(&self, attempt: &AttemptId, source: &RunnerId) -> Option<LateOrder> {
        self.has(attempt, source).then(|| self.0.borrow_mut().remove(attempt))?
    }
}

/// Keeps an order until another node asks for its run, or the call's deadline passes.
pub fn keep_order(context: &Rc<NodeContext>, call: &Rc<Call>, order: LateOrder) {
    if may_log(context) {
        let (request, source) = (&call.attempt, &order.source.runner);
        let (answered, copied) = (order.order.answered.is_raised(), order.copy.is_some());
        tracing::info!(event = "order_kept", %request, %source, answered, copied);
    }
    context.late_orders.0.borrow_mut().insert(call.attempt.clone(), order);
    let (context, attempt, deadline) = (Rc::clone(context), call.attempt.clone(), call.deadline);
    kernel::spawn_rest(async move {
        kernel::sleep(deadline.since(context.now()).into()).await;
        context.late_orders.0.borrow_mut().remove(&attempt);
    });
}
