use super::*;
use std::collections::BTreeSet;

#[test]
fn group_ids_are_distinct_within_and_across_domains() {
    let groups: BTreeSet<DeduplicationGroupId> =
        (0..50).flat_map(|domain| (0..200).map(move |group| group_in_domain(group, domain))).collect();
    assert_eq!(groups.len(), 50 * 200);
    assert_eq!(group_in_domain(7, 0), DeduplicationGroupId(7));
}
