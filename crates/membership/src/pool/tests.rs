use super::*;
use std::collections::BTreeSet;

#[test]
fn group_ids_are_distinct_within_and_across_domains() {
    let cells: BTreeSet<DeduplicationGroupId> =
        (0..50).flat_map(|domain| (0..200).map(move |bay| cell(bay, domain))).collect();
    assert_eq!(cells.len(), 50 * 200);
    assert_eq!(cell(7, 0), DeduplicationGroupId(7));
}
