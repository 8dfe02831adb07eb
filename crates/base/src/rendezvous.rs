//! Rendezvous hashing (Thaler and Ravishankar, 1998): nodes with the same membership choose
//! the same owner of a key without coordination.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Score of `node` for `key`; the node with the highest score owns the key.
#[must_use]
pub fn rendezvous_score(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Returns `nodes` in descending order of their score for `key`.
pub fn rendezvous_order<'a>(key: &str, nodes: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<(u64, &str)> = nodes.map(|n| (rendezvous_score(key, n), n)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, node)| node).collect()
}
