//! Updates of discovered pools' lists, as scripted events.

mod common;
use common::*;
use shaletide_membership::*;
use shaletide_types::*;

const A: PoolId = PoolId(0);
const B: PoolId = PoolId(1);

fn two_pools() -> Mirror {
    Mirror::new(vec![discovered_pool("a"), discovered_pool("b")])
}

#[test]
fn name_keeps_its_id_through_states_addresses_and_snapshots() {
    let mut m = two_pools();
    m.apply_delta(A, vec![entry("x", 1, READY), entry("y", 2, READY)]);
    assert_eq!(m.backends(A), [(0, 1, READY), (1, 2, READY)]);
    m.apply_delta(A, vec![entry("x", 1, DRAINING)]);
    m.update(A, EndpointUpdate::Snapshot, vec![entry("y", 3, READY), entry("x", 1, READY)]);
    assert_eq!(m.backends(A), [(0, 1, READY), (1, 3, READY)]);
    m.update(A, EndpointUpdate::Cached, vec![entry("x", 1, READY)]);
    assert_eq!(m.backends(A), [(0, 1, READY)]);
    assert_eq!((m.directory.state(BackendId(1)), m.directory.name(BackendId(1))), (GONE, Some("y")));
}

#[test]
fn returning_backend_gets_a_new_id_unless_the_old_one_is_in_use() {
    let mut m = two_pools();
    for (is_in_use, number) in [(true, 0), (false, 1)] {
        m.apply_delta(A, vec![entry("x", 1, READY)]);
        m.apply_delta(A, vec![entry("x", 1, GONE)]);
        assert_eq!(m.backends(A), []);
        m.directory.retain(|_| is_in_use);
        m.apply_delta(A, vec![entry("x", 1, READY)]);
        assert_eq!(m.backends(A), [(number, 1, READY)]);
    }
    assert!(!m.directory.forget(BackendId(1)), "it is not gone");
    assert_eq!((m.directory.address(BackendId(0)), m.directory.state(BackendId(0))), (None, GONE));
}

#[test]
fn name_listed_twice_in_one_update_counts_as_its_last_entry() {
    let mut m = two_pools();
    let restarted = Endpoint { started_at: Some(Time(9)), ..entry("x", 1, READY) };
    m.apply_delta(A, vec![entry("x", 1, READY)]);
    m.apply_delta(A, vec![entry("x", 1, GONE), restarted]);
    assert_eq!(m.backends(A), [(0, 1, READY)]);
    assert_eq!(m.row(A, 0).started_at, Some(Time(9)));
    m.apply_delta(A, vec![entry("x", 2, READY), entry("x", 1, GONE)]);
    assert_eq!(m.backends(A), []);
}

#[test]
fn successor_at_the_same_address_is_a_backend_of_its_own_in_any_order() {
    let (old, new) = (|state| entry("old", 1, state), || entry("new", 1, READY));
    let orders: [&[&[Endpoint]]; 3] =
        [&[&[old(GONE), new()]], &[&[new(), old(GONE)]], &[&[new()], &[old(GONE)]]];
    for order in orders {
        let mut m = two_pools();
        m.apply_delta(A, vec![old(READY)]);
        m.apply_delta(B, vec![entry("other", 1, READY)]);
        order.iter().for_each(|entries| m.apply_delta(A, entries.to_vec()));
        assert_eq!(m.backends(A), [(1, 1, READY)], "the successor is a backend of its own");
        assert_eq!(m.backends(B), [], "the pool kept its claim");
    }
}

#[test]
fn released_address_goes_to_the_waiting_pool() {
    let mut m = two_pools();
    m.apply_delta(A, vec![entry("old", 1, READY)]);
    m.apply_delta(B, vec![entry("other", 1, READY)]);
    m.apply_delta(A, vec![entry("old", 1, GONE)]);
    m.apply_delta(A, vec![entry("new", 1, READY)]);
    assert_eq!((m.backends(A), m.backends(B)), (vec![], vec![(1, 1, READY)]));
}

#[test]
fn two_names_at_one_address_of_a_pool_are_two_backends() {
    let mut m = two_pools();
    m.apply_delta(A, vec![entry("old", 1, DRAINING), entry("new", 1, READY)]);
    let ids = [m.directory.name(BackendId(0)), m.directory.name(BackendId(1))];
    assert_eq!(ids, [Some("new"), Some("old")]);
    assert_eq!(m.backends(A), [(0, 1, READY), (1, 1, DRAINING)]);
    assert!(m.directory.conflicts().is_empty());
}

#[test]
fn address_stays_with_its_first_pool_until_its_list_drops_it() {
    let mut m = two_pools();
    m.apply_delta(A, vec![entry("x", 1, READY)]);
    m.apply_delta(B, vec![entry("x", 1, READY), entry("y", 2, READY)]);
    let conflict = Conflict { address: at(1), owner: A, waiting: B };
    assert_eq!(m.last.conflicts, [conflict]);
    assert_eq!((m.backends(A), m.backends(B)), (vec![(0, 1, READY)], vec![(1, 2, READY)]));
    m.apply_delta(A, vec![entry("x", 1, DRAINING)]);
    m.apply_delta(B, vec![entry("x", 1, READY)]);
    assert_eq!(m.last.conflicts, [], "it is reported once");
    assert_eq!(
        m.directory.conflicts().into_iter().collect::<Vec<_>>(),
        [conflict],
        "it lasts until one list drops the address"
    );
    m.apply_delta(A, vec![entry("x", 1, GONE)]);
    assert_eq!(
        m.last.notifications.iter().map(|(pool, ..)| *pool).collect::<Vec<_>>(),
        [A, B],
        "the pool that lost the address is notified first"
    );
    assert_eq!((m.backends(A), m.backends(B)), (vec![], vec![(1, 2, READY), (2, 1, READY)]));
    assert!(m.directory.conflicts().is_empty());
    m.apply_delta(A, vec![entry("x", 1, READY)]);
    assert_eq!(m.last.conflicts, [Conflict { address: at(1), owner: B, waiting: A }]);
    assert_eq!(m.backends(A), []);
}

#[test]
fn address_is_released_by_a_snapshot_or_an_address_change() {
    let mut m = two_pools();
    m.apply_delta(A, vec![entry("x", 1, READY), entry("y", 2, READY)]);
    m.apply_delta(B, vec![entry("p", 1, READY), entry("q", 2, DRAINING)]);
    m.update(A, EndpointUpdate::Snapshot, vec![entry("x", 1, READY)]);
    assert_eq!((m.backends(A), m.backends(B)), (vec![(0, 1, READY)], vec![(2, 2, DRAINING)]));
    m.apply_delta(A, vec![entry("x", 3, READY)]);
    assert_eq!((m.backends(A), m.backends(B)), (vec![(0, 3, READY)], vec![(2, 2, DRAINING), (3, 1, READY)]));
    m.apply_delta(B, vec![entry("p", 3, READY)]);
    assert_eq!(m.backends(B), [(2, 2, DRAINING)], "it moved to an address that another pool owns");
}

#[test]
fn lost_subscription_changes_nothing_and_is_notified() {
    let mut m = two_pools();
    m.apply_delta(A, vec![entry("x", 1, READY)]);
    m.update(A, EndpointUpdate::SubscriptionLost, vec![entry("y", 2, READY)]);
    assert_eq!(m.last.notifications, [(A, EndpointUpdate::SubscriptionLost, vec![])]);
    assert_eq!(m.backends(A), [(0, 1, READY)]);
    m.apply_delta(PoolId(9), vec![entry("y", 2, READY)]);
    assert_eq!(m.last, DirectoryUpdate::default(), "an update for an unknown pool is ignored");
}

#[test]
fn removal_of_an_unknown_entry_notifies_nothing() {
    let mut m = two_pools();
    m.apply_delta(A, vec![entry("x", 1, GONE)]);
    assert_eq!(m.last.notifications, [(A, EndpointUpdate::Delta, vec![])]);
}

#[test]
fn entries_have_zone_domain_and_group_ids_of_that_domain() {
    let shared = |name: &str| PoolSpec { deduplication_domain: Some("g".into()), ..discovered_pool(name) };
    let pools = vec![discovered_pool("a"), discovered_pool("b"), shared("c"), shared("d")];
    let (mut directory, _) = Directory::new(&["z0".into(), "z".into()], &["k".into()], pools);
    let rows: Vec<BackendEntry> = (0..4u8)
        .map(|n| {
            let e = Endpoint { cores: 0, ..entry("x", n, READY) };
            directory.apply_update(PoolId(n.into()), EndpointUpdate::Delta, vec![e]).notifications[0].2[0]
                .clone()
        })
        .collect();
    assert!(rows.iter().all(|row| (row.zone, row.server_type, row.cores) == (ZoneId(1), ServerTypeId(0), 1)));
    assert!(rows.iter().all(|row| row.stable_hash == stable_hash("x")));
    assert_eq!(
        rows[0].deduplication_group,
        DeduplicationGroupId(7),
        "groups of the first domain keep the list's numbers"
    );
    assert_eq!(
        (rows[2].deduplication_group, rows[2].deduplication_domain),
        (rows[3].deduplication_group, rows[3].deduplication_domain),
        "pools of one repeat group share groups and domain"
    );
    let domains = [rows[0].deduplication_domain, rows[1].deduplication_domain, rows[2].deduplication_domain];
    assert_eq!(domains, [0, 1, 2]);
    assert!(
        rows[0].deduplication_group != rows[1].deduplication_group
            && rows[1].deduplication_group != rows[2].deduplication_group
            && rows[0].deduplication_group != rows[2].deduplication_group
    );
    assert_eq!(directory.zone("z0"), ZoneId(0));
}

#[test]
fn entries_beyond_the_pool_bound_are_skipped() {
    let mut m = two_pools();
    let many =
        |from: usize, to: usize| (from..to).map(|n| entry(&n.to_string(), 1, READY)).collect::<Vec<_>>();
    let result = m.directory.apply_update(A, EndpointUpdate::Snapshot, many(0, MAX_ENTRIES + 5));
    assert_eq!((result.skipped, result.notifications[0].2.len()), (5, MAX_ENTRIES));
    let delta = vec![entry("0", 1, GONE), entry("new", 1, READY), entry("one too many", 1, READY)];
    let result = m.directory.apply_update(A, EndpointUpdate::Delta, delta);
    assert_eq!((result.skipped, result.notifications[0].2.len()), (1, 2));
}
