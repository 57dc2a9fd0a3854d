use super::*;

/// All proxies and releases must order backends in the same way.
#[test]
fn stable_hash_of_a_name_never_changes() {
    assert_eq!(stable_hash(""), 0xcbf2_9ce4_8422_2325 >> 20);
    assert_eq!(stable_hash("a"), 0xaf63_dc4c_8601_ec8c >> 20);
    assert_eq!(stable_hash("foobar"), 0x8594_4171_f739_67e8 >> 20);
}
