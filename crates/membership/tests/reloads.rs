//! The configuration read again, as event scripts.

mod common;
use common::*;
use shaletide_membership::*;
use shaletide_types::*;

const P: PoolId = PoolId(0);
const Q: PoolId = PoolId(1);

#[test]
fn at_the_start_static_boxes_are_old_and_later_ones_are_new() {
    let mut m = Mirror::new(vec![fixed("p", &[1, 2])]);
    assert_eq!(m.last.notifications[0].1, EndpointUpdate::Snapshot);
    m.reload(50, vec![fixed("p", &[2, 3])]);
    assert_eq!(m.boxes(P), [(1, 2, READY), (2, 3, READY)]);
    assert_eq!((m.row(P, 1).started_at, m.row(P, 2).started_at), (None, Some(Time(50))));
    assert_eq!(
        m.last.notifications.iter().map(|(_, _, rows)| rows.len()).collect::<Vec<_>>(),
        [1, 1],
        "only what differs"
    );
    m.reload(60, vec![fixed("p", &[3, 2])]);
    assert_eq!(m.last, DirectoryUpdate::default(), "the same boxes are no news");
    m.reload(70, vec![fixed("p", &[1, 2, 3])]);
    assert_eq!(m.row(P, 0).started_at, Some(Time(70)), "back in, under its number that is held, and new");
}

#[test]
fn a_box_that_changes_its_pool_keeps_its_number_and_its_age() {
    let mut m = Mirror::new(vec![fixed("p", &[1, 2]), fixed("q", &[3])]);
    m.reload(10, vec![fixed("p", &[1, 2, 4]), fixed("q", &[3])]);
    m.reload(50, vec![fixed("p", &[1]), fixed("q", &[2, 3, 4])]);
    let moved = |id| BackendMove { id: BackendId(id), from: P, to: Q };
    assert_eq!(m.last.moved, [moved(1), moved(3)]);
    assert_eq!(m.boxes(Q), [(1, 2, READY), (2, 3, READY), (3, 4, READY)]);
    assert_eq!((m.row(Q, 1).started_at, m.row(Q, 3).started_at), (None, Some(Time(10))));
    assert_eq!(m.last.conflicts, []);
    m.reload(60, vec![fixed("p", &[1, 2, 3, 4]), fixed("q", &[])]);
    assert_eq!((m.last.moved.len(), m.boxes(P).len(), m.boxes(Q).len()), (3, 4, 0));
}

#[test]
fn a_box_moves_also_within_a_repeat_group_and_to_a_pool_that_is_new() {
    let shared = |spec: PoolSpec| PoolSpec { repeat_group: Some("g".into()), ..spec };
    let mut m = Mirror::new(vec![shared(fixed("p", &[1, 2]))]);
    let row = m.row(P, 0).clone();
    m.reload(50, vec![shared(fixed("r", &[1])), shared(fixed("p", &[2]))]);
    assert_eq!(m.last.moved, [BackendMove { id: BackendId(0), from: P, to: PoolId(1) }]);
    assert_eq!(*m.row(PoolId(1), 0), row);
}

#[test]
fn a_pool_taken_out_has_no_boxes_and_its_name_gets_a_new_number() {
    let mut m = Mirror::new(vec![fixed("p", &[1]), listed("q")]);
    m.changes(Q, vec![entry("x", 2, READY)]);
    m.reload(50, vec![]);
    assert_eq!((m.boxes(P), m.boxes(Q)), (vec![], vec![]));
    assert_eq!(m.directory.state(BackendId(0)), GONE);
    m.changes(Q, vec![entry("x", 2, READY)]);
    assert_eq!(m.last, DirectoryUpdate::default(), "news for a pool that is no more");
    m.directory.retain(|_| false);
    assert_eq!(m.directory.address(BackendId(0)), None);
    m.reload(60, vec![listed("q")]);
    assert_eq!((m.directory.pool_named("q"), m.directory.pool_named("p")), (Some(PoolId(2)), None));
}

#[test]
fn a_listed_pool_keeps_its_boxes_through_a_reload_and_hears_nothing() {
    let mut m = Mirror::new(vec![listed("p"), fixed("q", &[1])]);
    m.changes(P, vec![entry("x", 2, READY)]);
    m.reload(50, vec![fixed("q", &[1, 3]), listed("p")]);
    assert_eq!(m.last.notifications.iter().map(|(pool, ..)| *pool).collect::<Vec<_>>(), [Q]);
    assert_eq!(m.boxes(P), [(1, 2, READY)]);
}

#[test]
fn static_and_listed_pools_share_the_line_for_an_address() {
    let mut m = Mirror::new(vec![fixed("p", &[1]), listed("q"), fixed("r", &[])]);
    m.changes(Q, vec![entry("x", 1, READY)]);
    assert_eq!(m.last.conflicts, [Conflict { address: at(1), owner: P, waiting: Q }]);
    m.reload(50, vec![fixed("p", &[]), listed("q"), fixed("r", &[1])]);
    assert_eq!(m.last.moved.len(), 1, "the configuration goes before the list in line");
    assert_eq!((m.boxes(Q), m.boxes(PoolId(2))), (vec![], vec![(0, 1, READY)]));
    m.reload(60, vec![listed("q")]);
    assert_eq!(m.boxes(Q), [(1, 1, READY)], "the list's turn: for it, a box of its own");
    m.reload(70, vec![listed("q"), fixed("s", &[1])]);
    assert_eq!(m.last.conflicts.len(), 1);
    m.changes(Q, vec![entry("x", 1, GONE)]);
    assert_eq!(m.boxes(PoolId(3)), [(2, 1, READY)]);
}

#[test]
fn two_static_pools_with_one_address_at_the_start_are_reported_and_the_first_has_it() {
    let m = Mirror::new(vec![fixed("p", &[1]), fixed("q", &[1])]);
    assert_eq!(m.last.conflicts, [Conflict { address: at(1), owner: P, waiting: Q }]);
    assert_eq!((m.boxes(P).len(), m.boxes(Q).len()), (1, 0));
}

#[test]
fn a_pool_may_change_from_static_to_listed_and_back_and_is_never_without_boxes() {
    let mut m = Mirror::new(vec![fixed("p", &[1])]);
    m.reload(50, vec![listed("p")]);
    assert_eq!(m.boxes(P), [(0, 1, READY)], "until its list comes");
    let old = Endpoint { started_at: Some(Time(5)), ..entry("x", 1, READY) };
    m.news(P, EndpointUpdate::Snapshot, vec![old]);
    assert_eq!(m.boxes(P), [(1, 1, READY)]);
    m.reload(60, vec![fixed("p", &[1])]);
    assert_eq!(m.boxes(P), [(0, 1, READY)], "by its address again, and that number is held");
    assert_eq!(m.row(P, 0).started_at, Some(Time(5)), "it was there before the reload");
}

#[test]
fn a_change_of_the_repeat_group_is_told_to_the_balancer() {
    let mut m = Mirror::new(vec![fixed("p", &[1]), fixed("q", &[2])]);
    let shared = |spec: PoolSpec| PoolSpec { repeat_group: Some("g".into()), ..spec };
    m.reload(50, vec![shared(fixed("p", &[1])), shared(fixed("q", &[2]))]);
    assert_eq!(m.directory.deduplication_domain(P), m.directory.deduplication_domain(Q));
    assert_eq!(m.row(P, 0).deduplication_group, m.row(Q, 1).deduplication_group);
    assert_eq!(m.row(P, 0).started_at, None);
}

#[test]
fn more_cores_or_another_zone_are_told_and_make_no_new_box() {
    let mut m = Mirror::new(vec![fixed("p", &[1])]);
    let bigger = Endpoint { cores: 8, zone: "far".into(), ..entry("s1", 1, READY) };
    m.reload(50, vec![PoolSpec { source: Source::Static(vec![bigger]), ..fixed("p", &[]) }]);
    assert_eq!(m.boxes(P), [(0, 1, READY)]);
    assert_eq!((m.row(P, 0).cores, m.row(P, 0).started_at), (8, None));
}
