//! Load against real processes, and policy experiments in virtual time.

pub mod traffic;
