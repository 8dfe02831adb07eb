//! The runner that keeps a copy of a stream's memory, and resuming the stream there.

use base::prelude::*;
use platform::ResumeSource;
use serving::RunnerRecord;

use crate::call::Call;
use crate::context::NodeContext;
use crate::route_ticket::RouteTicket;
use crate::runner_gate::find_block;
use crate::runner_send::SendPlan;

/// Chooses the runner that is to keep a copy of the call's memory, if it needs one and a
/// runner has room.
pub fn choose_backup(
    context: &NodeContext,
    call: &Call,
    ticket: &RouteTicket,
) -> Option<RunnerRecord> {
    if !call.wants_backup() {
        return None;
    }
    let backup = ticket.choose_backup()?;
    let record = context.runners.borrow().get(&backup).map(|entry| entry.record.clone())?;
    find_block(context, &record.incarnation()).is_none().then_some(record)
}

/// Assigns the call to `backup`, which keeps a copy of its memory, and plans the send that
/// resumes it there; the last event that was forwarded is filled in when it is sent.
pub fn plan_backup_resume(
    context: &NodeContext,
    call: &Call,
    ticket: &mut RouteTicket,
    backup: RunnerRecord,
) -> SendPlan {
    ticket.relocate_to(&backup.runner);
    let handle = Arc::from(call.attempt.as_str());
    let resume = ResumeSource { address: backup.address, handle, last_event_id: None };
    let next = choose_backup(context, call, ticket);
    SendPlan::resume(backup, resume, next)
}
