//! Hashes of names that are identical in all proxies and all releases.

/// Returns the 64-bit FNV-1a hash of a text.
pub(crate) fn fnv1a(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// Returns the stable hash of a backend's name, 44 bits. All proxies order backends by it in the same way.
pub fn stable_hash(name: &str) -> u64 {
    fnv1a(name) >> 20
}

/// Returns the number of a deduplication group that has a name and no number in the list: the name's 64-bit hash.
pub fn deduplication_group_hash(name: &str) -> u64 {
    fnv1a(name)
}

#[cfg(test)]
mod tests;
