//! Groups of proxies and backends: all, one, a zone, or as `[[group]]` says.

use super::reader::Table;
use super::{BackendsPart, FleetPart};
use shaletide_testkit::SeededRng;
use std::collections::BTreeMap;
use std::ops::Range;

/// Proxies and backends by number, sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Proxies.
    pub proxies: Vec<usize>,
    /// Backends.
    pub backends: Vec<usize>,
}

/// The names that steps may use. `proxies`, `boxes`, each zone's name, `p0` and on, and `b0` and on are
/// predefined; `front` is the load balancer before the proxies, `list` the list service.
#[derive(Clone, Debug)]
pub struct Groups {
    named: BTreeMap<String, Members>,
    zones: Vec<String>,
}

impl Groups {
    pub(super) fn new(fleet: &FleetPart, backends: &BackendsPart) -> Groups {
        let mut named = BTreeMap::new();
        let (all_proxies, all_backends): (Vec<_>, Vec<_>) =
            ((0..fleet.proxies).collect(), (0..backends.count).collect());
        for p in &all_proxies {
            named.insert(format!("p{p}"), Members { proxies: vec![*p], backends: Vec::new() });
        }
        for b in &all_backends {
            named.insert(format!("b{b}"), Members { proxies: Vec::new(), backends: vec![*b] });
        }
        let zones = fleet.zones.len();
        for (place, zone) in fleet.zones.iter().enumerate() {
            let here = |all: &[usize]| all.iter().copied().filter(|n| n % zones == place).collect();
            named
                .insert(zone.clone(), Members { proxies: here(&all_proxies), backends: here(&all_backends) });
        }
        named.insert("proxies".into(), Members { proxies: all_proxies, backends: Vec::new() });
        named.insert("boxes".into(), Members { proxies: Vec::new(), backends: all_backends });
        Groups { named, zones: fleet.zones.clone() }
    }

    /// The members of that name.
    pub fn get(&self, name: &str) -> Option<&Members> {
        self.named.get(name)
    }

    /// The members of all these names, sorted and without duplicates; unknown names are reported.
    pub(super) fn all(&self, table: &Table<'_>, names: &[(String, Range<usize>)]) -> Members {
        let mut members = Members::default();
        for (name, at) in names {
            match self.get(name) {
                Some(found) => {
                    members.proxies.extend(&found.proxies);
                    members.backends.extend(&found.backends);
                }
                None => {
                    let expected =
                        "expected `proxies`, `boxes`, a zone, a [[group]], `p0` and on, or `b0` and on";
                    table.wrong(at.clone(), format!("nobody goes by \"{name}\""), expected);
                }
            }
        }
        for list in [&mut members.proxies, &mut members.backends] {
            list.sort_unstable();
            list.dedup();
        }
        members
    }
}

/// Reads `[[group]]`: `of`, then at most one of `share` (a seeded sample) and `first`.
pub(super) fn read(root: &Table<'_>, groups: &mut Groups, seed: u64) {
    for table in root.tables("group") {
        let name = table.name_needed("name");
        let of = table.names("of");
        if !table.has("of") {
            table.wrong(
                table.at.clone(),
                "group.of is missing",
                "expected whom it is made of, such as \"proxies\"",
            );
        }
        let mut members = groups.all(&table, &of);
        if let Some(zone) = table.name("zone") {
            match groups.zones.iter().position(|z| *z == zone) {
                Some(place) => {
                    let zones = groups.zones.len();
                    members.proxies.retain(|n| n % zones == place);
                    members.backends.retain(|n| n % zones == place);
                }
                None => {
                    let zones = groups.zones.join(", ");
                    table.wrong_key(
                        "zone",
                        &format!("no zone is named \"{zone}\""),
                        format!("one of: {zones}"),
                    );
                }
            }
        }
        let share = table.number("share", (0.0, 1.0));
        let first = table.whole("first", (1, 1_000));
        if table.has("share") && table.has("first") {
            table.wrong_key("first", "it stands beside `share`", "expected one of the two");
        }
        let mut rng = SeededRng::named(seed, &name);
        for list in [&mut members.proxies, &mut members.backends] {
            if let Some(first) = first {
                list.truncate(first as usize);
            }
            if let Some(share) = share {
                let wanted = (list.len() as f64 * share).round() as usize;
                while list.len() > wanted {
                    list.remove((rng.uniform() * list.len() as f64) as usize);
                }
            }
        }
        if groups.named.contains_key(&name) {
            table.wrong_key("name", &format!("\"{name}\" is taken"), "a name of its own");
        }
        if members.proxies.is_empty() && members.backends.is_empty() && !of.is_empty() {
            table.wrong(table.at.clone(), format!("group {name} is empty"), "expected at least one member");
        }
        table.end();
        groups.named.insert(name, members);
    }
}
