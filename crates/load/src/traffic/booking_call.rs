//! A booking: a call that may not be repeated, under one key.

use base::prelude::Arc;
use hyper::Method;
use serde::Deserialize;

use crate::traffic::load_caller::{come_back, last_word};
use crate::traffic::{CallError, CallReply, FinalOutcome, LoadCaller, Violation, ViolationKind};

/// Body of a booking's answer.
#[derive(Debug, Deserialize)]
struct BookingAnswer {
    booking: String,
    count: u64,
}

/// Books under one key; once its outcome is not certain, only the same tag is used again.
pub async fn call_booking(mut caller: LoadCaller) {
    let mut policy = caller.retry_policy();
    let service = caller.class.service.as_ref().map(ToString::to_string).unwrap_or_default();
    let path = format!("/v1/services/{service}/bookings");
    let mut tag: Arc<str> = caller.book.home_tag().await;
    let mut maybe_ran = false;
    let outcome = loop {
        let headers = [("idempotency-key", &*caller.name), ("x-yard-home", &*tag)];
        let reply = caller.send(Method::POST, &path, &headers, r#"{"pairs":1}"#).await;
        let error = match reply.and_then(CallReply::whole) {
            Ok(bytes) => {
                check_answer(&caller, &bytes);
                break FinalOutcome::Done;
            }
            Err(error) => error,
        };
        // An address that could not be reached says nothing about earlier tries.
        if error != CallError::NotSent {
            maybe_ran = last_word(&error) != FinalOutcome::NotRun;
        }
        if !caller.pause(&mut policy, come_back(&error)).await {
            break if maybe_ran { FinalOutcome::Unknown } else { FinalOutcome::NotRun };
        }
        if !maybe_ran {
            caller.book.forget();
            tag = caller.book.home_tag().await;
        }
    };
    caller.ledger.borrow_mut().record(caller.name.to_string(), outcome);
    caller.end(outcome);
}

fn check_answer(caller: &LoadCaller, bytes: &[u8]) {
    let Ok(answer) = serde_json::from_slice::<BookingAnswer>(bytes) else {
        let detail = String::from_utf8_lossy(bytes).into_owned();
        return caller.break_promise(Violation::new(ViolationKind::Malformed, detail));
    };
    if answer.booking != *caller.name {
        let detail = format!("answer to {}", answer.booking);
        caller.break_promise(Violation::new(ViolationKind::ForeignAnswer, detail));
    }
    if answer.count > 1 {
        let detail = format!("ran {} times", answer.count);
        caller.break_promise(Violation::new(ViolationKind::BookingRepeated, detail));
    }
}
