//! Load against real processes, and policy experiments in virtual time.

pub mod policy;
pub mod slopes;
pub mod traffic;
