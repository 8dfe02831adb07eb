//! Which stewards read the log, and who of them writes checkpoints first.

use std::collections::BTreeMap;

use base::{PlaceName, VmId, rendezvous_order};

use crate::FollowerMember;

/// Stewards of a failure domain that read the log.
const READERS_PER_PLACE: usize = 3;

/// The part of one steward in following the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReaderRole {
    /// It reads the log.
    pub is_reader: bool,
    /// Its place, from 0, in the order in which readers write a checkpoint.
    pub rank: usize,
}

impl ReaderRole {
    /// The part of a steward that knows of no others.
    pub const ALONE: Self = Self { is_reader: true, rank: 0 };

    /// The part of `own` among `members`: the same in every steward with the same list.
    pub fn choose(own: &VmId, members: &[FollowerMember]) -> Self {
        if !members.iter().any(|member| member.vm == *own) {
            return Self { is_reader: true, rank: members.len() };
        }
        let mut places: BTreeMap<&PlaceName, Vec<&str>> = BTreeMap::new();
        for member in members {
            places.entry(&member.place).or_default().push(member.vm.as_str());
        }
        let choose = |vms: Vec<&'_ str>| {
            let order = rendezvous_order("config-reader", vms.into_iter());
            order.into_iter().take(READERS_PER_PLACE).map(str::to_owned).collect::<Vec<_>>()
        };
        let readers: Vec<String> = places.into_values().flat_map(choose).collect();
        let order = rendezvous_order("checkpoint-writer", readers.iter().map(String::as_str));
        let rank = order.iter().position(|vm| *vm == own.as_str());
        Self { is_reader: rank.is_some(), rank: rank.unwrap_or(order.len()) }
    }
}
