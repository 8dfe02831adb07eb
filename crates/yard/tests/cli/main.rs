//! The command line as a process, before the platform's stand-ins.

mod certificates;
mod check_plan;
mod commands;
mod explain;
mod platform;
mod publish;
