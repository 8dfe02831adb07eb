//! A call of a plain service that may be repeated.

use hyper::Method;
use serde::Deserialize;

use crate::traffic::load_caller::{come_back, last_word};
use crate::traffic::{CallReply, FinalOutcome, LoadCaller, Violation, ViolationKind};

/// Body of a ticket's answer.
#[derive(Debug, Deserialize)]
struct TicketAnswer {
    ticket: String,
}

/// Looks a ticket up, until there is an answer or the tries are used up.
pub async fn call_lookup(mut caller: LoadCaller) {
    let mut policy = caller.retry_policy();
    let service = caller.class.service.as_ref().map(ToString::to_string).unwrap_or_default();
    let path = format!("/v1/services/{service}/tickets/{}", caller.name);
    loop {
        let reply = caller.send(Method::GET, &path, &[], "").await;
        match reply.and_then(CallReply::whole) {
            Ok(bytes) => {
                let answer = serde_json::from_slice::<TicketAnswer>(&bytes);
                if !answer.is_ok_and(|answer| answer.ticket == *caller.name) {
                    let detail = String::from_utf8_lossy(&bytes).into_owned();
                    caller.break_promise(Violation::new(ViolationKind::ForeignAnswer, detail));
                }
                return caller.end(FinalOutcome::Done);
            }
            Err(error) => {
                if !caller.pause(&mut policy, come_back(&error)).await {
                    return caller.end(last_word(&error));
                }
            }
        }
    }
}
