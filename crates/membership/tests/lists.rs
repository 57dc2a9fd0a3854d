//! News of listed pools, as event scripts.

mod common;
use common::*;
use shaletide_membership::*;
use shaletide_types::*;

const A: PoolId = PoolId(0);
const B: PoolId = PoolId(1);

fn two() -> Mirror {
    Mirror::new(vec![listed("a"), listed("b")])
}

#[test]
fn a_name_keeps_its_number_through_states_addresses_and_whole_lists() {
    let mut m = two();
    m.changes(A, vec![entry("x", 1, READY), entry("y", 2, READY)]);
    assert_eq!(m.boxes(A), [(0, 1, READY), (1, 2, READY)]);
    m.changes(A, vec![entry("x", 1, DRAINING)]);
    m.news(A, EndpointUpdate::Snapshot, vec![entry("y", 3, READY), entry("x", 1, READY)]);
    assert_eq!(m.boxes(A), [(0, 1, READY), (1, 3, READY)]);
    m.news(A, EndpointUpdate::Cached, vec![entry("x", 1, READY)]);
    assert_eq!(m.boxes(A), [(0, 1, READY)]);
    assert_eq!((m.directory.state(BackendId(1)), m.directory.name(BackendId(1))), (GONE, Some("y")));
}

#[test]
fn one_that_returns_has_a_new_number_unless_the_old_one_is_held() {
    let mut m = two();
    for (held, number) in [(true, 0), (false, 1)] {
        m.changes(A, vec![entry("x", 1, READY)]);
        m.changes(A, vec![entry("x", 1, GONE)]);
        assert_eq!(m.boxes(A), []);
        m.directory.retain(|_| held);
        m.changes(A, vec![entry("x", 1, READY)]);
        assert_eq!(m.boxes(A), [(number, 1, READY)]);
    }
    assert!(!m.directory.forget(BackendId(1)), "it is not gone");
    assert_eq!((m.directory.address(BackendId(0)), m.directory.state(BackendId(0))), (None, GONE));
}

#[test]
fn a_name_that_goes_and_comes_in_one_update_counts_as_it_stands_last() {
    let mut m = two();
    let reborn = Endpoint { started_at: Some(Time(9)), ..entry("x", 1, READY) };
    m.changes(A, vec![entry("x", 1, READY)]);
    m.changes(A, vec![entry("x", 1, GONE), reborn]);
    assert_eq!(m.boxes(A), [(0, 1, READY)]);
    assert_eq!(m.row(A, 0).started_at, Some(Time(9)));
    m.changes(A, vec![entry("x", 2, READY), entry("x", 1, GONE)]);
    assert_eq!(m.boxes(A), []);
}

#[test]
fn a_successor_at_the_same_address_works_in_whatever_order_it_is_told() {
    let (old, new) = (|state| entry("old", 1, state), || entry("new", 1, READY));
    let orders: [&[&[Endpoint]]; 3] =
        [&[&[old(GONE), new()]], &[&[new(), old(GONE)]], &[&[new()], &[old(GONE)]]];
    for order in orders {
        let mut m = two();
        m.changes(A, vec![old(READY)]);
        m.changes(B, vec![entry("other", 1, READY)]);
        order.iter().for_each(|entries| m.changes(A, entries.to_vec()));
        assert_eq!(m.boxes(A), [(1, 1, READY)], "the successor is a box of its own");
        assert_eq!(m.boxes(B), [], "the pool kept its place in line");
    }
}

#[test]
fn an_address_that_is_free_for_a_moment_goes_to_the_pool_that_waits() {
    let mut m = two();
    m.changes(A, vec![entry("old", 1, READY)]);
    m.changes(B, vec![entry("other", 1, READY)]);
    m.changes(A, vec![entry("old", 1, GONE)]);
    m.changes(A, vec![entry("new", 1, READY)]);
    assert_eq!((m.boxes(A), m.boxes(B)), (vec![], vec![(1, 1, READY)]));
}

#[test]
fn two_names_at_one_address_of_a_pool_both_work() {
    let mut m = two();
    m.changes(A, vec![entry("old", 1, DRAINING), entry("new", 1, READY)]);
    let ids = [m.directory.name(BackendId(0)), m.directory.name(BackendId(1))];
    assert_eq!(ids, [Some("new"), Some("old")]);
    assert_eq!(m.boxes(A), [(0, 1, READY), (1, 1, DRAINING)]);
    assert!(m.directory.conflicts().is_empty());
}

#[test]
fn an_address_stays_with_the_pool_that_had_it_first_until_its_list_drops_it() {
    let mut m = two();
    m.changes(A, vec![entry("x", 1, READY)]);
    m.changes(B, vec![entry("x", 1, READY), entry("y", 2, READY)]);
    let conflict = Conflict { address: at(1), owner: A, waiting: B };
    assert_eq!(m.last.conflicts, [conflict]);
    assert_eq!((m.boxes(A), m.boxes(B)), (vec![(0, 1, READY)], vec![(1, 2, READY)]));
    m.changes(A, vec![entry("x", 1, DRAINING)]);
    m.changes(B, vec![entry("x", 1, READY)]);
    assert_eq!(m.last.conflicts, [], "it is reported once");
    assert_eq!(
        m.directory.conflicts().into_iter().collect::<Vec<_>>(),
        [conflict],
        "and stands until it ends"
    );
    m.changes(A, vec![entry("x", 1, GONE)]);
    assert_eq!(
        m.last.notifications.iter().map(|(pool, ..)| *pool).collect::<Vec<_>>(),
        [A, B],
        "the loser hears first"
    );
    assert_eq!((m.boxes(A), m.boxes(B)), (vec![], vec![(1, 2, READY), (2, 1, READY)]));
    assert!(m.directory.conflicts().is_empty());
    m.changes(A, vec![entry("x", 1, READY)]);
    assert_eq!(m.last.conflicts, [Conflict { address: at(1), owner: B, waiting: A }]);
    assert_eq!(m.boxes(A), []);
}

#[test]
fn an_address_passes_on_also_by_a_whole_list_or_a_move_of_its_owner() {
    let mut m = two();
    m.changes(A, vec![entry("x", 1, READY), entry("y", 2, READY)]);
    m.changes(B, vec![entry("p", 1, READY), entry("q", 2, DRAINING)]);
    m.news(A, EndpointUpdate::Snapshot, vec![entry("x", 1, READY)]);
    assert_eq!((m.boxes(A), m.boxes(B)), (vec![(0, 1, READY)], vec![(2, 2, DRAINING)]));
    m.changes(A, vec![entry("x", 3, READY)]);
    assert_eq!((m.boxes(A), m.boxes(B)), (vec![(0, 3, READY)], vec![(2, 2, DRAINING), (3, 1, READY)]));
    m.changes(B, vec![entry("p", 3, READY)]);
    assert_eq!(m.boxes(B), [(2, 2, DRAINING)], "it moved to an address that is not its pool's");
}

#[test]
fn a_lost_list_changes_nothing_and_is_told_on() {
    let mut m = two();
    m.changes(A, vec![entry("x", 1, READY)]);
    m.news(A, EndpointUpdate::SubscriptionLost, vec![entry("y", 2, READY)]);
    assert_eq!(m.last.notifications, [(A, EndpointUpdate::SubscriptionLost, vec![])]);
    assert_eq!(m.boxes(A), [(0, 1, READY)]);
    m.changes(PoolId(9), vec![entry("y", 2, READY)]);
    assert_eq!(m.last, DirectoryUpdate::default(), "news for no pool is no news");
}

#[test]
fn an_entry_that_was_never_known_does_not_go() {
    let mut m = two();
    m.changes(A, vec![entry("x", 1, GONE)]);
    assert_eq!(m.last.notifications, [(A, EndpointUpdate::Delta, vec![])]);
}

#[test]
fn rows_carry_plain_zones_their_realm_and_cells_of_its_own() {
    let shared = |name: &str| PoolSpec { repeat_group: Some("g".into()), ..listed(name) };
    let pools = vec![listed("a"), listed("b"), shared("c"), shared("d")];
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
        "the first realm's cells are as the list has them"
    );
    assert_eq!(
        (rows[2].deduplication_group, rows[2].deduplication_domain),
        (rows[3].deduplication_group, rows[3].deduplication_domain),
        "one group"
    );
    let realms = [rows[0].deduplication_domain, rows[1].deduplication_domain, rows[2].deduplication_domain];
    assert_eq!(realms, [0, 1, 2]);
    assert!(
        rows[0].deduplication_group != rows[1].deduplication_group
            && rows[1].deduplication_group != rows[2].deduplication_group
            && rows[0].deduplication_group != rows[2].deduplication_group
    );
    assert_eq!(directory.zone("z0"), ZoneId(0));
}

#[test]
fn a_pool_holds_no_more_entries_than_its_bound() {
    let mut m = two();
    let many =
        |from: usize, to: usize| (from..to).map(|n| entry(&n.to_string(), 1, READY)).collect::<Vec<_>>();
    let told = m.directory.apply_update(A, EndpointUpdate::Snapshot, many(0, MAX_ENTRIES + 5));
    assert_eq!((told.skipped, told.notifications[0].2.len()), (5, MAX_ENTRIES));
    let news = vec![entry("0", 1, GONE), entry("new", 1, READY), entry("one too many", 1, READY)];
    let told = m.directory.apply_update(A, EndpointUpdate::Delta, news);
    assert_eq!((told.skipped, told.notifications[0].2.len()), (1, 2));
}
