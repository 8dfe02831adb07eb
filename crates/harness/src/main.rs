//! `yard-demo`: the whole system on one machine.

fn main() {}
