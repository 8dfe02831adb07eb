//! One request's way over all nodes, from their log lines, and what explains its end.

use serde_json::Value;

use crate::log_reader::LogLine;

/// Number of lines that are shown as the cause of an end.
const MAX_CAUSES: usize = 5;

/// Why requests end as they do: the reason in the line `end`, what it means, and the kinds of lines
/// that tell more.
const REASONS: [(&str, &str, &[&str]); 29] = [
    ("no_runner", "all runners of the service leave or are gone", &["runner_changed"]),
    (
        "runners_wait",
        "every runner of the service has named a wait or is at its limit",
        &["wait_begun", "limit_named"],
    ),
    (
        "place_evacuated",
        "all runners of the service are in places that the operator has evacuated",
        &["place_evacuated", "evacuation_withdrawn"],
    ),
    ("overloaded", "no room opened at a runner in time", &["runner_changed"]),
    ("queue_full", "too many requests wait at this node", &["runner_changed"]),
    (
        "runners_unreached",
        "the node reached no runner, and no other node took it",
        &["runners_unreached"],
    ),
    ("body_late", "its body had not arrived by its deadline", &[]),
    ("forwarded", "the node that it was forwarded to ended it", &["runners_unreached"]),
    ("node_lost", "the node that it was forwarded to was lost", &["runners_unreached"]),
    ("runners_failed", "every send failed, or no other one was allowed", &["runner_changed"]),
    ("refused", "the scheduler gave it up", &["runner_changed"]),
    (
        "part_crashes_runners",
        "a part of its prompt has crashed several runners",
        &["part_blocked", "runner_crashed"],
    ),
    (
        "request_crashes_runners",
        "several runners have crashed under the same request",
        &["request_blocked", "runner_crashed"],
    ),
    ("deadline_passed", "its deadline passed", &["runner_changed"]),
    ("runner_lost", "its runner was lost and no copy was left", &["runner_changed"]),
    ("move_failed", "its runner was lost while its memory was copied", &["runner_changed"]),
    ("resume_refused", "the runner with the copy refused to go on", &["runner_changed"]),
    ("stream_malformed", "the runner sent what is no stream of events", &[]),
    ("no_route", "the configuration in force has no route for it", CONFIGURATION),
    ("no_service", "its route names no service", CONFIGURATION),
    ("unauthorized", "the configuration in force does not know its key", CONFIGURATION),
    ("not_ready", "the node had no configuration yet", CONFIGURATION),
    ("stopping", "the node was told to stop", &["stop"]),
    ("stopped", "the process of the node ended its stop before the request had ended", &["stop"]),
    ("memory_full", "the node had no memory left for request bodies", &[]),
    ("connections_full", "the node had no connection left for callers", &[]),
    ("no_attempt_id", "the request has no attempt id", &[]),
    ("body_too_long", "its body is longer than the configuration allows", CONFIGURATION),
    ("body_incomplete", "its body did not come whole", &[]),
];
const CONFIGURATION: &[&str] = &["plan_in_force", "dependency_lost"];

/// What the logs say about one request.
pub(crate) struct RequestTrace<'a> {
    /// Its lines, in order of time.
    pub steps: Vec<&'a LogLine>,
    /// What its end means; none if the logs have no end or no reason of it.
    pub meaning: Option<&'static str>,
    /// The last lines before its end that may have brought it about.
    pub causes: Vec<&'a LogLine>,
}

impl<'a> RequestTrace<'a> {
    /// Finds the way of the request `id` in `lines`, which are in order of time.
    pub fn find(lines: &'a [LogLine], id: &str) -> Self {
        let steps: Vec<&LogLine> = lines.iter().filter(|line| is_of(line, id)).collect();
        let end = steps.iter().rev().find(|line| line.event == "end").copied();
        let reason = end.and_then(|end| {
            let reason = end.text("reason");
            REASONS.iter().find(|(name, ..)| *name == reason)
        });
        let (Some(end), Some((_, meaning, events))) = (end, reason) else {
            return Self { steps, meaning: None, causes: Vec::new() };
        };
        let may_cause = |line: &&LogLine| {
            events.contains(&line.event.as_str())
                && line.at <= end.at
                && concerns(line, end, &steps)
        };
        let mut causes: Vec<&LogLine> =
            lines.iter().rev().filter(may_cause).take(MAX_CAUSES).collect();
        causes.reverse();
        Self { steps, meaning: Some(meaning), causes }
    }
}

/// Whether a line may be needed to explain the request `id`.
pub(crate) fn may_matter(line: &LogLine, id: &str) -> bool {
    is_of(line, id) || REASONS.iter().any(|(.., events)| events.contains(&line.event.as_str()))
}

fn is_of(line: &LogLine, id: &str) -> bool {
    line.fields["request"] == id
}

/// Whether a line is about the node of the end, or about runners that crashed anywhere. Of changes of
/// runners only those of runners that the request was sent to count, if it was sent; of lost
/// dependencies, the one that configurations come from.
fn concerns(line: &LogLine, end: &LogLine, steps: &[&LogLine]) -> bool {
    match line.event.as_str() {
        "runner_crashed" => return true,
        "dependency_lost" if line.text("dependency") != "store: configuration" => return false,
        _ => (),
    }
    let sends = || steps.iter().filter(|step| step.event == "send");
    let runner = line.text("runner");
    let is_its_runner = line.event != "runner_changed"
        || sends().next().is_none()
        || sends().any(|send| send.text("runner") == runner);
    line.node == end.node && is_its_runner
}

/// A line in plain words.
pub(crate) fn describe(line: &LogLine) -> String {
    let field = |name: &str| line.text(name);
    match line.event.as_str() {
        "send" => {
            let backup = Some(field("backup")).filter(|backup| !backup.is_empty());
            let backup = backup.map(|backup| format!(", copy at {backup}")).unwrap_or_default();
            let (runner, waited) = (field("runner"), field("waited_ms"));
            format!("sent to {runner}{backup}, {waited} ms after it came")
        }
        "relayed" => {
            let (node, outcome, reason) = (field("node"), field("outcome"), field("reason"));
            let reason = Some(reason).filter(|reason| !reason.is_empty());
            let reason = reason.map(|reason| format!(" ({reason})")).unwrap_or_default();
            format!("forwarded to {node}: {outcome}{reason}")
        }
        "send_failed" => format!("no answer from {}: {}", field("runner"), field("reason")),
        "runner_crashed" => {
            let (runner, request) = (field("runner"), field("request"));
            format!(
                "{runner} crashed with {request}, whose prompt has the parts {}",
                field("parts")
            )
        }
        "move_begun" => format!("memory is copied from {} to {}", field("from"), field("to")),
        "run_copied" => format!("memory is copied, in {} ms", field("copy_ms")),
        "runner_changed_over" => {
            let (to, events) = (field("to"), field("events"));
            format!("goes on at {to} ({}), after {events} events", field("how"))
        }
        "move_impossible" => format!("no runner to go on at, instead of {}", field("from")),
        "stream_pace" => {
            let (first, gap) = (field("first_ms"), field("longest_gap_ms"));
            format!(
                "{} events, the first after {first} ms, longest pause {gap} ms",
                field("events")
            )
        }
        "end" => {
            let reason = Some(field("reason")).filter(|reason| !reason.is_empty());
            let reason = reason.map(|reason| format!(" ({reason})")).unwrap_or_default();
            let total = Some(field("total_ms")).filter(|total| !total.is_empty());
            let total = total.map(|total| format!(", after {total} ms")).unwrap_or_default();
            format!("ended: {}{reason}, status {}{total}", field("outcome"), field("status"))
        }
        event => format!("{event}{}", show_fields(&line.fields)),
    }
}

/// The fields of a line that no sentence stands for.
fn show_fields(fields: &Value) -> String {
    const SHOWN_ELSEWHERE: [&str; 4] = ["timestamp", "level", "event", "request"];
    let fields = fields.as_object().into_iter().flatten();
    let shown = fields.filter(|(name, _)| !SHOWN_ELSEWHERE.contains(&name.as_str()));
    shown
        .map(|(name, value)| match value {
            Value::String(text) => format!(" {name}={text}"),
            value => format!(" {name}={value}"),
        })
        .collect()
}
