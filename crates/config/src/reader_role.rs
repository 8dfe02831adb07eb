//! Chooses the stewards that read the log, and the order in which they write checkpoints.

use std::collections::BTreeMap;

use base::{PlaceName, VmId, rendezvous_order};

use crate::FollowerMember;

/// Stewards of each failure domain that read the log.
const READERS_PER_PLACE: usize = 3;

/// One steward's role in following the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReaderRole {
    /// It reads the log.
    pub is_reader: bool,
    /// Its rank, from 0, in the order in which readers write a checkpoint.
    pub rank: usize,
}

impl ReaderRole {
    /// The role of a steward that knows no others.
    pub const WITHOUT_PEERS: Self = Self { is_reader: true, rank: 0 };

    /// The role of `own` among `members`, computed alike by every steward with the same list.
    pub fn choose(own: &VmId, members: &[FollowerMember]) -> Self {
        if !members.iter().any(|member| member.vm == *own) {
            return Self { is_reader: true, rank: members.len() };
        }
        let mut places: BTreeMap<&PlaceName, Vec<&str>> = BTreeMap::new();
        for member in members {
            places.entry(&member.place).or_default().push(member.vm.as_str());
        }
        let choose_readers = |vms: Vec<&'_ str>| {
            let order = rendezvous_order("config-reader", vms.into_iter());
            order.into_iter().take(READERS_PER_PLACE).map(str::to_owned).collect::<Vec<_>>()
        };
        let readers: Vec<String> = places.into_values().flat_map(choose_readers).collect();
        let order = rendezvous_order("checkpoint-writer", readers.iter().map(String::as_str));
        let rank = order.iter().position(|vm| *vm == own.as_str());
        Self { is_reader: rank.is_some(), rank: rank.unwrap_or(order.len()) }
    }
}
