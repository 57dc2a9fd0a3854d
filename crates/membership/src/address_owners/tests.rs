use super::*;

#[test]
fn removed_owner_is_followed_by_the_claimant_with_precedence() {
    let at: SocketAddr = "10.0.0.1:80".parse().unwrap();
    let (key, other) = (EntryKey::from("k"), EntryKey::from("l"));
    let mut address_owners = AddressOwners::default();
    for pool in [1, 2, 3, 4] {
        address_owners.add(at, PoolId(pool), &key);
    }
    address_owners.add(at, PoolId(1), &other);
    assert_eq!(address_owners.conflicts().len(), 3);
    assert_eq!(
        address_owners.remove(at, PoolId(1), &key, |_| false),
        None,
        "its other entry still claims the address"
    );
    assert_eq!(address_owners.remove(at, PoolId(1), &other, |p| p == PoolId(3)), Some(PoolId(3)));
    assert_eq!(address_owners.claimants(at), [PoolId(3), PoolId(2), PoolId(4)]);
    assert_eq!(address_owners.remove(at, PoolId(2), &key, |_| false), None, "it did not own the address");
    assert_eq!(address_owners.remove(at, PoolId(3), &key, |_| false), Some(PoolId(4)));
    assert!(address_owners.conflicts().is_empty());
    assert_eq!(address_owners.remove(at, PoolId(4), &key, |_| true), None);
    assert_eq!(
        (address_owners.owner(at), address_owners.claimants.len(), address_owners.entries.len()),
        (None, 0, 0)
    );
}
