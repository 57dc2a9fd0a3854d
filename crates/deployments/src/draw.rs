//! A site drawn from a generator. What depends on each other is drawn in order: network, machines, classes (which must
//! be servable by these machines over this network), size (which must fit the bench's limit of requests), the rest.

mod fleet;
mod names;
mod policy;
mod traffic;

use crate::model::Site;
use crate::rng::SeededRng;

/// The dialect file's name beside each site file.
const WIRE_FILE: &str = "wire.json";

/// The sites of a seed. Each has a generator of its own: the first ones of a larger number are those of a smaller.
pub fn sites(seed: u64, count: u32) -> Vec<Site> {
    let mut seeds = SeededRng::from_seed(seed);
    (1..=count).map(|number| site(format!("site-{seed}-{number:02}"), seeds.next_seed())).collect()
}

/// The site of a name and a seed.
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
