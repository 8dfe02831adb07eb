//! A generation answered as a whole.

use hyper::Method;
use hyper::body::Bytes;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;

use crate::traffic::load_caller::{come_back, last_word};
use crate::traffic::{CompletionText, FinalOutcome, LoadCaller, Violation, ViolationKind};

/// Body of a whole answer.
#[derive(Debug, Deserialize)]
struct WholeAnswer {
    text: String,
    tokens: u32,
}

/// Calls until there is an answer or the tries are used up; a generation may be repeated.
pub async fn call_whole(mut caller: LoadCaller) {
    let mut random = StdRng::from_rng(&mut caller.random);
    let text = CompletionText::draw(&caller.class, &caller.name, false, &mut random);
    let mut policy = caller.retry_policy();
    loop {
        let reply = caller.send(Method::POST, "/v1/completions", &[], &text.body).await;
        match reply.and_then(crate::traffic::CallReply::whole) {
            Ok(bytes) => {
                check_answer(&caller, &text, &bytes);
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

fn check_answer(caller: &LoadCaller, text: &CompletionText, bytes: &Bytes) {
    let Ok(answer) = serde_json::from_slice::<WholeAnswer>(bytes) else {
        let detail = String::from_utf8_lossy(bytes).chars().take(200).collect::<String>();
        return caller.break_promise(Violation::new(ViolationKind::Malformed, detail));
    };
    caller.tally.borrow_mut().tokens += u64::from(answer.tokens);
    let mut check = text.check.clone();
    let outcome = check.take_text(&answer.text).and_then(|()| check.finish());
    if let Err(violation) = outcome {
        caller.break_promise(violation);
    } else if answer.tokens != check.taken() {
        let detail = format!("tokens is {}, the text has {}", answer.tokens, check.taken());
        caller.break_promise(Violation::new(ViolationKind::AnswerShort, detail));
    }
}
