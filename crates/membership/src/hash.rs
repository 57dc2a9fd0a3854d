//! Hashes of names that are the same at every proxy and in every release.

/// FNV-1a of a text, 64 bits.
pub(crate) fn fnv1a(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// The stable hash of a backend's name, 44 bits; it gives all proxies one order of backends.
pub fn stable_hash(name: &str) -> u64 {
    fnv1a(name) >> 20
}

/// The number of a deduplication group to which the list gives a name and no number: all 64 bits of the name's hash.
pub fn deduplication_group_hash(name: &str) -> u64 {
    fnv1a(name)
}

#[cfg(test)]
mod tests;
