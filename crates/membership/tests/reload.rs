//! Reloads of the configuration, as scripted events.

mod common;
use common::*;
use shaletide_membership::*;
use shaletide_types::*;

const P: PoolId = PoolId(0);
const Q: PoolId = PoolId(1);

#[test]
fn static_backends_added_by_a_reload_count_as_just_started() {
    let mut m = Mirror::new(vec![static_pool("p", &[1, 2])]);
    assert_eq!(m.last.notifications[0].1, EndpointUpdate::Snapshot);
    m.reload(50, vec![static_pool("p", &[2, 3])]);
    assert_eq!(m.backends(P), [(1, 2, READY), (2, 3, READY)]);
    assert_eq!((m.row(P, 1).started_at, m.row(P, 2).started_at), (None, Some(Time(50))));
    assert_eq!(
        m.last.notifications.iter().map(|(_, _, rows)| rows.len()).collect::<Vec<_>>(),
        [1, 1],
        "only what differs"
    );
    m.reload(60, vec![static_pool("p", &[3, 2])]);
    assert_eq!(m.last, DirectoryUpdate::default(), "unchanged backends are not notified");
    m.reload(70, vec![static_pool("p", &[1, 2, 3])]);
    assert_eq!(
        m.row(P, 0).started_at,
        Some(Time(70)),
        "it returns under its old number, which was not forgotten, as just started"
    );
}

#[test]
fn backend_moved_between_static_pools_keeps_its_id_and_start_time() {
    let mut m = Mirror::new(vec![static_pool("p", &[1, 2]), static_pool("q", &[3])]);
    m.reload(10, vec![static_pool("p", &[1, 2, 4]), static_pool("q", &[3])]);
    m.reload(50, vec![static_pool("p", &[1]), static_pool("q", &[2, 3, 4])]);
    let moved = |id| BackendMove { id: BackendId(id), from: P, to: Q };
    assert_eq!(m.last.moved, [moved(1), moved(3)]);
    assert_eq!(m.backends(Q), [(1, 2, READY), (2, 3, READY), (3, 4, READY)]);
    assert_eq!((m.row(Q, 1).started_at, m.row(Q, 3).started_at), (None, Some(Time(10))));
    assert_eq!(m.last.conflicts, []);
    m.reload(60, vec![static_pool("p", &[1, 2, 3, 4]), static_pool("q", &[])]);
    assert_eq!((m.last.moved.len(), m.backends(P).len(), m.backends(Q).len()), (3, 4, 0));
}

#[test]
fn backend_moves_within_a_repeat_group_to_a_new_pool() {
    let shared = |spec: PoolSpec| PoolSpec { deduplication_domain: Some("g".into()), ..spec };
    let mut m = Mirror::new(vec![shared(static_pool("p", &[1, 2]))]);
    let row = m.row(P, 0).clone();
    m.reload(50, vec![shared(static_pool("r", &[1])), shared(static_pool("p", &[2]))]);
    assert_eq!(m.last.moved, [BackendMove { id: BackendId(0), from: P, to: PoolId(1) }]);
    assert_eq!(*m.row(PoolId(1), 0), row);
}

#[test]
fn removed_pool_has_no_backends_and_its_name_gets_a_new_id() {
    let mut m = Mirror::new(vec![static_pool("p", &[1]), discovered_pool("q")]);
    m.apply_delta(Q, vec![entry("x", 2, READY)]);
    m.reload(50, vec![]);
    assert_eq!((m.backends(P), m.backends(Q)), (vec![], vec![]));
    assert_eq!(m.directory.state(BackendId(0)), GONE);
    m.apply_delta(Q, vec![entry("x", 2, READY)]);
    assert_eq!(m.last, DirectoryUpdate::default(), "an update for a removed pool is ignored");
    m.directory.retain(|_| false);
    assert_eq!(m.directory.address(BackendId(0)), None);
    m.reload(60, vec![discovered_pool("q")]);
    assert_eq!((m.directory.pool_named("q"), m.directory.pool_named("p")), (Some(PoolId(2)), None));
}

#[test]
fn discovered_pool_keeps_its_backends_and_is_not_notified_on_reload() {
    let mut m = Mirror::new(vec![discovered_pool("p"), static_pool("q", &[1])]);
    m.apply_delta(P, vec![entry("x", 2, READY)]);
    m.reload(50, vec![static_pool("q", &[1, 3]), discovered_pool("p")]);
    assert_eq!(m.last.notifications.iter().map(|(pool, ..)| *pool).collect::<Vec<_>>(), [Q]);
    assert_eq!(m.backends(P), [(1, 2, READY)]);
}

#[test]
fn static_and_discovered_pools_claim_an_address_in_order() {
    let mut m = Mirror::new(vec![static_pool("p", &[1]), discovered_pool("q"), static_pool("r", &[])]);
    m.apply_delta(Q, vec![entry("x", 1, READY)]);
    assert_eq!(m.last.conflicts, [Conflict { address: at(1), owner: P, waiting: Q }]);
    m.reload(50, vec![static_pool("p", &[]), discovered_pool("q"), static_pool("r", &[1])]);
    assert_eq!(m.last.moved.len(), 1, "the static pool has precedence over the discovered one");
    assert_eq!((m.backends(Q), m.backends(PoolId(2))), (vec![], vec![(0, 1, READY)]));
    m.reload(60, vec![discovered_pool("q")]);
    assert_eq!(
        m.backends(Q),
        [(1, 1, READY)],
        "the discovered pool owns the address, with a backend of its own"
    );
    m.reload(70, vec![discovered_pool("q"), static_pool("s", &[1])]);
    assert_eq!(m.last.conflicts.len(), 1);
    m.apply_delta(Q, vec![entry("x", 1, GONE)]);
    assert_eq!(m.backends(PoolId(3)), [(2, 1, READY)]);
}

#[test]
fn address_in_two_static_pools_is_a_conflict_and_the_first_owns_it() {
    let m = Mirror::new(vec![static_pool("p", &[1]), static_pool("q", &[1])]);
    assert_eq!(m.last.conflicts, [Conflict { address: at(1), owner: P, waiting: Q }]);
    assert_eq!((m.backends(P).len(), m.backends(Q).len()), (1, 0));
}

#[test]
fn pool_changed_from_static_to_discovered_and_back_keeps_its_backends() {
    let mut m = Mirror::new(vec![static_pool("p", &[1])]);
    m.reload(50, vec![discovered_pool("p")]);
    assert_eq!(m.backends(P), [(0, 1, READY)], "kept until its list arrives");
    let old = Endpoint { started_at: Some(Time(5)), ..entry("x", 1, READY) };
    m.update(P, EndpointUpdate::Snapshot, vec![old]);
    assert_eq!(m.backends(P), [(1, 1, READY)]);
    m.reload(60, vec![static_pool("p", &[1])]);
    assert_eq!(
        m.backends(P),
        [(0, 1, READY)],
        "identified by its address again, under the number that was not forgotten"
    );
    assert_eq!(
        m.row(P, 0).started_at,
        Some(Time(5)),
        "a backend known before the reload keeps its start time"
    );
}

#[test]
fn changed_repeat_group_is_notified() {
    let mut m = Mirror::new(vec![static_pool("p", &[1]), static_pool("q", &[2])]);
    let shared = |spec: PoolSpec| PoolSpec { deduplication_domain: Some("g".into()), ..spec };
    m.reload(50, vec![shared(static_pool("p", &[1])), shared(static_pool("q", &[2]))]);
    assert_eq!(m.directory.deduplication_domain(P), m.directory.deduplication_domain(Q));
    assert_eq!(m.row(P, 0).deduplication_group, m.row(Q, 1).deduplication_group);
    assert_eq!(m.row(P, 0).started_at, None);
}

#[test]
fn changed_cores_or_zone_are_notified_under_the_same_id() {
    let mut m = Mirror::new(vec![static_pool("p", &[1])]);
    let bigger = Endpoint { cores: 8, zone: "far".into(), ..entry("s1", 1, READY) };
    m.reload(50, vec![PoolSpec { source: Source::Static(vec![bigger]), ..static_pool("p", &[]) }]);
    assert_eq!(m.backends(P), [(0, 1, READY)]);
    assert_eq!((m.row(P, 0).cores, m.row(P, 0).started_at), (8, None));
}
