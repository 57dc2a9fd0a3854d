//! Random list updates and reloads, checked against a naive model of the lists.

mod common;
use common::*;
use proptest::collection::vec;
use proptest::prelude::*;
use shaletide_membership::*;
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

#[derive(Clone, Debug)]
enum Step {
    Update(u32, EndpointUpdate, Vec<Endpoint>),
    Reload(Vec<u8>, Vec<u8>),
    Forget(u32),
}

fn entries() -> impl Strategy<Value = Vec<Endpoint>> {
    let state = prop_oneof![3 => Just(READY), 1 => Just(DRAINING), 2 => Just(GONE)];
    let one = (0..4u8, 1..5u8, state, 0..3u64);
    vec(one, 0..5).prop_map(|all| {
        let one = |(name, address, state, started_at): (u8, u8, BackendState, u64)| Endpoint {
            started_at: (started_at > 0).then_some(Time(started_at)),
            ..entry(&format!("n{name}"), address, state)
        };
        all.into_iter().map(one).collect()
    })
}

fn step() -> impl Strategy<Value = Step> {
    let update = prop_oneof![
        6 => Just(EndpointUpdate::Delta), 2 => Just(EndpointUpdate::Snapshot),
        1 => Just(EndpointUpdate::Cached), 1 => Just(EndpointUpdate::SubscriptionLost),
    ];
    let addresses = || proptest::collection::btree_set(1..5u8, 0..4).prop_map(|s| s.into_iter().collect());
    prop_oneof![
        8 => (0..2u32, update, entries()).prop_map(|(pool, update, entries)| Step::Update(pool, update, entries)),
        2 => (addresses(), addresses()).prop_map(|(p, q)| Step::Reload(p, q)),
        1 => any::<u32>().prop_map(Step::Forget),
    ]
}

/// A naive model of the lists: entries by pool, then by name or static address.
type Lists = BTreeMap<PoolId, BTreeMap<String, Endpoint>>;

fn apply_to_model(lists: &mut Lists, pool: PoolId, update: EndpointUpdate, entries: &[Endpoint]) {
    let list = lists.entry(pool).or_default();
    match update {
        EndpointUpdate::SubscriptionLost => return,
        EndpointUpdate::Snapshot | EndpointUpdate::Cached => list.clear(),
        EndpointUpdate::Delta => {}
    }
    for e in entries {
        list.remove(&e.name);
        if e.state != GONE {
            list.insert(e.name.clone(), e.clone());
        }
    }
}

fn at_address(lists: &Lists, address: SocketAddr) -> BTreeMap<PoolId, Vec<&Endpoint>> {
    let here = |list: &'_ BTreeMap<String, Endpoint>| list.values().any(|e| e.address == address);
    let pools = lists.iter().filter(|(_, list)| here(list));
    pools.map(|(pool, list)| (*pool, list.values().filter(|e| e.address == address).collect())).collect()
}

type Owners = BTreeMap<SocketAddr, PoolId>;

/// Checks that each listed address belongs to exactly one pool, with all entries of that pool's list at the address, and that
/// an owner keeps an address while its list has it. Returns the owners.
fn check(m: &Mirror, lists: &Lists, before: &Owners) -> Owners {
    let mut owners = Owners::new();
    for address in (1..5).map(at) {
        let listed_by_pool = at_address(lists, address);
        let mut got: BTreeMap<PoolId, Vec<(String, BackendState, Option<Time>)>> = BTreeMap::new();
        for (pool, backends) in &m.pools {
            for (row, _) in backends.values().filter(|(_, at)| *at == address) {
                let name = m.directory.name(row.id).expect("known").to_string();
                got.entry(*pool).or_default().push((name, row.state, row.started_at));
            }
        }
        assert_eq!(
            got.len(),
            usize::from(!listed_by_pool.is_empty()),
            "{address}: {listed_by_pool:?} {got:?}"
        );
        let Some((owner, mut notified)) = got.pop_first() else { continue };
        let fixed = owner.0 > 1;
        notified.sort_by(|a, b| a.0.cmp(&b.0));
        // The directory decides the start time of a static backend.
        let age = |e: &Endpoint, at: usize| if fixed { notified[at].2 } else { e.started_at };
        let listed =
            listed_by_pool[&owner].iter().enumerate().map(|(at, e)| (e.name.clone(), e.state, age(e, at)));
        assert_eq!(listed.collect::<Vec<_>>(), notified, "{address} in {owner:?}");
        if let Some(old) = before.get(&address).filter(|old| listed_by_pool.contains_key(old)) {
            assert_eq!(*old, owner, "{address} was taken from a pool that still lists it");
        }
        owners.insert(address, owner);
    }
    let waiting: usize = (1..5).map(|n| at_address(lists, at(n)).len().saturating_sub(1)).sum();
    assert_eq!(m.directory.conflicts().len(), waiting);
    owners
}

/// Returns the backends' numbers by pool and name.
fn numbers(m: &Mirror) -> BTreeMap<(PoolId, String), BackendId> {
    let each = m.pools.iter().flat_map(|(pool, backends)| backends.keys().map(move |id| (*pool, *id)));
    each.map(|(pool, id)| ((pool, m.directory.name(id).expect("known").to_string()), id)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn every_listed_backend_is_in_exactly_one_pool(steps in vec(step(), 1..40)) {
        let pools = |p: &[u8], q: &[u8]| vec![
            discovered_pool("a"), discovered_pool("b"), static_pool("p", p), static_pool("q", q)
        ];
        let mut m = Mirror::new(pools(&[], &[]));
        let (mut lists, mut owners) = (Lists::new(), Owners::new());
        let mut forgotten: BTreeSet<BackendId> = BTreeSet::new();
        for (clock, step) in steps.into_iter().enumerate() {
            let (before, owners_before) = (numbers(&m), owners.clone());
            match step {
                Step::Update(pool, update, entries) => {
                    apply_to_model(&mut lists, PoolId(pool), update, &entries);
                    m.update(PoolId(pool), update, entries);
                    prop_assert!(m.last.moved.is_empty());
                }
                Step::Reload(p, q) => {
                    for (pool, addresses) in [(2, &p), (3, &q)] {
                        let backends: Vec<Endpoint> =
                            addresses.iter().map(|n| entry(&format!("s{n}"), *n, READY)).collect();
                        apply_to_model(&mut lists, PoolId(pool), EndpointUpdate::Snapshot, &backends);
                    }
                    m.reload(100 + clock as u64, pools(&p, &q));
                }
                Step::Forget(mask) => {
                    let all_ids: Vec<BackendId> = (0..1_000).map(BackendId).collect();
                    let known = |m: &Mirror| -> BTreeSet<BackendId> {
                        all_ids.iter().copied().filter(|id| m.directory.address(*id).is_some()).collect()
                    };
                    let all = known(&m);
                    m.directory.retain(|id| mask >> (id.0 % 32) & 1 == 1);
                    forgotten.extend(all.difference(&known(&m)));
                }
            }
            owners = check(&m, &lists, &owners);
            let after = numbers(&m);
            for (key, id) in &after {
                prop_assert!(!forgotten.contains(id), "a number was used twice");
                // A name that is listed before and after a step keeps its number.
                prop_assert!(before.get(key).is_none_or(|old| old == id));
            }
            // A backend moves with its address from one static pool to another.
            for (address, owner) in &owners {
                let Some(from) = owners_before.get(address).filter(|from| from.0 > 1 && owner.0 > 1 && *from != owner)
                else { continue };
                let moved = m.last.moved.iter().find(|moved| m.directory.address(moved.id) == Some(*address));
                prop_assert_eq!(moved.map(|moved| (moved.from, moved.to)), Some((*from, *owner)));
            }
        }
    }
}
