//! One call of a load, and what it shares with the others.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use base::{TimePoint, TimeSpan, prelude::*};
use hyper::Method;
use kernel::{MonotonicClock, sleep};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::traffic::{
    AddressBook, BookingLedger, CallError, CallReply, ClassTally, FinalOutcome, MixClass,
    PromiseCheck, RetryPolicy, Violation, ViolationKind,
};

/// Time beyond its deadline for which a caller waits for an answer.
const DEADLINE_GRACE: TimeSpan = TimeSpan::seconds(5);
/// Further tries of one call.
const RETRIES: u32 = 6;

/// One call of a load.
pub struct LoadCaller {
    /// Its class.
    pub class: Rc<MixClass>,
    /// The class's counts.
    pub tally: Rc<RefCell<ClassTally>>,
    /// What its workspace knows.
    pub book: Rc<AddressBook>,
    /// Where broken promises go.
    pub promises: PromiseCheck,
    /// Where bookings go.
    pub ledger: Rc<RefCell<BookingLedger>>,
    /// The process's clock.
    pub clock: MonotonicClock,
    /// Its unique name.
    pub name: Arc<str>,
    /// Its own random numbers.
    pub random: StdRng,
    /// When it began.
    pub begin: TimePoint,
}

impl LoadCaller {
    /// Its further tries.
    pub fn retry_policy(&mut self) -> RetryPolicy {
        RetryPolicy::new(RETRIES, StdRng::from_rng(&mut self.random))
    }

    /// Sends a request to the best address; where no byte could be written, to the others.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<CallReply, CallError> {
        let key = format!("Bearer {}", self.book.caller().secret);
        let deadline = self.class.deadline_ms.to_string();
        let mut all = vec![("authorization", key.as_str()), ("x-yard-deadline-ms", &deadline)];
        all.extend_from_slice(headers);
        for peer in self.book.addresses().await {
            let limit = TimeSpan::millis(self.class.deadline_ms) + DEADLINE_GRACE;
            let reply =
                CallReply::send(peer, method.clone(), path, &all, body.to_owned(), limit).await;
            self.note(peer, &reply);
            if !matches!(reply, Err(CallError::NotSent)) {
                return reply;
            }
        }
        self.book.forget();
        Err(CallError::NotSent)
    }

    fn note(&self, peer: SocketAddr, reply: &Result<CallReply, CallError>) {
        match reply {
            Err(CallError::NotSent | CallError::NoAnswer) => self.book.demote(peer),
            Err(CallError::Answered { reason, .. }) => {
                *self.tally.borrow_mut().reasons.entry(reason.clone()).or_default() += 1;
            }
            Err(CallError::Malformed(text)) => {
                self.break_promise(Violation::new(ViolationKind::Malformed, text.clone()));
            }
            Ok(_) => (),
        }
    }

    /// Waits before a further try; false if there are no more.
    pub async fn pause(&self, policy: &mut RetryPolicy, come_back: Option<TimeSpan>) -> bool {
        let Some(span) = policy.next_pause(come_back) else { return false };
        self.tally.borrow_mut().retries += 1;
        sleep(span.into()).await;
        true
    }

    /// Records a broken promise to this call.
    pub fn break_promise(&self, violation: Violation) {
        let Violation { kind, detail } = violation;
        self.promises.add(Violation::new(kind, format!("{}: {detail}", self.name)));
    }

    /// Records the last word on this call.
    pub fn end(&self, outcome: FinalOutcome) {
        self.tally.borrow_mut().end(outcome, self.clock.now().since(self.begin));
    }
}

/// The last word of an error after which nothing more is tried.
pub fn last_word(error: &CallError) -> FinalOutcome {
    match error {
        CallError::NotSent => FinalOutcome::NotRun,
        CallError::NoAnswer | CallError::Malformed(_) => FinalOutcome::NoAnswer,
        CallError::Answered { outcome, .. } => match outcome {
            CallOutcome::Done => FinalOutcome::Done,
            CallOutcome::NotRun => FinalOutcome::NotRun,
            CallOutcome::Unknown => FinalOutcome::Unknown,
            CallOutcome::Incomplete => FinalOutcome::Incomplete,
        },
    }
}

/// When the error says to come back.
pub fn come_back(error: &CallError) -> Option<TimeSpan> {
    match error {
        CallError::Answered { come_back, .. } => *come_back,
        _ => None,
    }
}
