//! One send of a plain call that is under way, and its place at the runner until it ends.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use base::prelude::*;
use futures_util::future::LocalBoxFuture;
use hyper::Response;
use hyper::body::Bytes;
use serving::RunnerRecord;

use crate::answer_rest::read_runner_answer;
use crate::call::Call;
use crate::context::NodeContext;
use crate::hedged_call::{RaceEnd, SendEnd};
use crate::route_ticket::RouteTicket;
use crate::runner_send::{SendFailure, SendPlan, send_to_runner};

/// A send under way. It ends with its own end, and that of a second send which has failed before it.
pub(crate) enum PlainSend<'a> {
    /// A send without a race.
    Single(Box<SingleSend<'a>>),
    /// A send with a second one beside it if it is slow.
    Raced(LocalBoxFuture<'a, RaceEnd<Response<Bytes>>>),
    /// A send that has ended.
    Ended,
}

/// A send without a race, and its place at the runner.
pub(crate) struct SingleSend<'a> {
    /// Yields the plan again, and the outcome.
    answer: LocalBoxFuture<'a, (SendPlan, Result<Response<Bytes>, SendFailure>)>,
    place: SendPlace,
}

/// The place of a send at its runner.
pub(crate) struct SendPlace {
    /// The place.
    pub(crate) ticket: RouteTicket,
    /// The runner.
    pub(crate) runner: RunnerRecord,
    /// When the send takes longer than usual.
    pub(crate) late_at: TimePoint,
}

impl<'a> SingleSend<'a> {
    /// Begins a send, which is late at `late_at`.
    pub(crate) fn new(
        context: &'a NodeContext,
        call: &'a Rc<Call>,
        (ticket, plan): (RouteTicket, SendPlan),
        late_at: TimePoint,
    ) -> Self {
        let place = SendPlace { ticket, runner: plan.runner.clone(), late_at };
        let answer = Box::pin(async move {
            let result = send_plain(context, call, &plan).await;
            (plan, result)
        });
        Self { answer, place }
    }
}

impl PlainSend<'_> {
    /// Gives the send up and closes its connection. `None` if no place is left to be ended: a race
    /// has ended its own.
    pub(crate) fn close(self) -> Option<SendPlace> {
        match self {
            Self::Single(single) => Some(single.place),
            Self::Raced(_) | Self::Ended => None,
        }
    }
}

impl Future for PlainSend<'_> {
    type Output = RaceEnd<Response<Bytes>>;

    fn poll(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<Self::Output> {
        match std::mem::replace(&mut *self, Self::Ended) {
            Self::Single(mut single) => match single.answer.as_mut().poll(task) {
                Poll::Ready((plan, result)) => {
                    let last = SendEnd { ticket: single.place.ticket, plan, result };
                    Poll::Ready(RaceEnd { last, failed: None, cancelled: None })
                }
                Poll::Pending => {
                    *self = Self::Single(single);
                    Poll::Pending
                }
            },
            Self::Raced(mut race) => {
                let polled = race.as_mut().poll(task);
                if polled.is_pending() {
                    *self = Self::Raced(race);
                }
                polled
            }
            Self::Ended => Poll::Pending,
        }
    }
}

/// Sends the call to one runner and reads its whole answer.
async fn send_plain(
    context: &NodeContext,
    call: &Call,
    plan: &SendPlan,
) -> Result<Response<Bytes>, SendFailure> {
    let left = call.deadline.since(context.now());
    let exchange = send_to_runner(context, call, plan, left).await?;
    read_runner_answer(context, call, &plan.runner, exchange).await
}
