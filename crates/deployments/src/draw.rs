//! Draws a site from a generator. Parts that depend on each other are drawn in order: the network, the machines, the
//! classes (which these machines must be able to serve over this network), the size (which must fit the bench's limit of
//! requests), and then the rest.

mod fleet;
mod names;
mod policy;
mod traffic;

use crate::model::Site;
use crate::rng::SeededRng;

/// The name of the protocol file beside each site file.
const WIRE_FILE: &str = "wire.json";

/// Returns the sites of a seed. Each site has a generator of its own, so that a larger count starts with the sites of a
/// smaller one.
pub fn sites(seed: u64, count: u32) -> Vec<Site> {
    let mut seeds = SeededRng::from_seed(seed);
    (1..=count).map(|number| site(format!("site-{seed}-{number:02}"), seeds.next_seed())).collect()
}

/// Returns the site of that name and seed.
pub fn site(name: String, seed: u64) -> Site {
    let rng = &mut SeededRng::from_seed(seed);
    let net = policy::network(rng);
    let kinds = fleet::kinds(rng);
    let classes = traffic::classes(rng, &kinds, &net);
    let tenants = traffic::tenants(rng);
    let scale = fleet::scale(rng, &kinds, &classes);
    let load = traffic::load(rng, net.zones.len());
    let discovery = policy::discovery(rng);
    let allow = policy::allowances(rng);
    let tier = fleet::tier(rng, kinds, &net, allow.probes);
    Site {
        name,
        family: "proxy".into(),
        wire: WIRE_FILE.into(),
        day: policy::day(rng),
        scale,
        affinity: traffic::affinity(rng, load.keys),
        load,
        front: policy::front(rng),
        clients: traffic::clients(rng),
        discovery,
        allow,
        rules: policy::rules(rng),
        goal: policy::goal(rng, !tenants.is_empty()),
        prices: policy::prices(rng),
        tier: vec![tier],
        classes,
        tenants,
        faults: policy::faults(rng),
        net,
    }
}
