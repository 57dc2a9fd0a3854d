//! Pools and their backends.

use super::names::Index;
use super::{BackendDef, PoolDef, Source};
use crate::desk::Desk;
use crate::report::Finding;
use crate::schema::BOX;
use crate::section::{File, Section};
use crate::values::{self, describe};
use shaletide_balancer::{BackendState, DiscoveryMode, Micros};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::Range;
use toml::de::DeValue;

/// So many pools may stand in a file.
const POOLS: usize = 64;
/// So many backends may stand in a file.
const BOXES: usize = 10_000;

/// What pools share: no address stands twice.
pub(super) struct Addresses {
    listeners: Vec<(SocketAddr, Range<usize>)>,
    boxes: HashMap<SocketAddr, Range<usize>>,
    discoveries: HashMap<SocketAddr, Range<usize>>,
    left: usize,
}

impl Addresses {
    /// None but the proxy's own.
    pub fn new(listeners: Vec<(SocketAddr, Range<usize>)>) -> Addresses {
        Addresses { listeners, boxes: HashMap::new(), discoveries: HashMap::new(), left: BOXES }
    }

    fn take_box(&mut self, desk: &mut Desk<'_>, address: SocketAddr, at: &Range<usize>) {
        let expected = "expected each box once in the file";
        let again = format!("pool.boxes: the address {address} stands twice");
        take(&mut self.boxes, desk, address, at, again, expected);
        let own = self.listeners.iter().find(|(listener, _)| {
            let any = listener.ip().is_unspecified() && address.ip().is_loopback();
            listener.port() == address.port() && (any || listener.ip() == address.ip())
        });
        if let Some((_, listener)) = own {
            let what = format!("pool.boxes: {address} is this proxy itself");
            let finding = Finding::at(at.clone(), what, "expected another address than the listeners'");
            desk.add(finding.also(listener.clone(), "it listens here"));
        }
    }

    fn take_discovery(&mut self, desk: &mut Desk<'_>, address: SocketAddr, at: &Range<usize>) {
        let again = format!("pool.discovery: the address {address} stands twice");
        let expected = "expected each discovery in one pool, as its boxes may be in one only";
        take(&mut self.discoveries, desk, address, at, again, expected);
    }
}

fn take(
    taken: &mut HashMap<SocketAddr, Range<usize>>, desk: &mut Desk<'_>, address: SocketAddr,
    at: &Range<usize>, again: String, expected: &str,
) {
    match taken.get(&address) {
        Some(first) => desk.add(Finding::at(at.clone(), again, expected).also(first.clone(), "first here")),
        None => {
            taken.insert(address, at.clone());
        }
    }
}

/// The pools and their names.
pub(super) fn pools(
    desk: &mut Desk<'_>, file: &File<'_, '_>, taken: &mut Addresses,
) -> (Vec<PoolDef>, Index) {
    let (sections, all) = file.list(desk, "pool", POOLS);
    let names = Index::read(desk, "pool", &sections, all);
    let each = sections.iter().zip(names.in_order());
    let pools = each.map(|(section, name)| pool(desk, section, name, taken)).collect();
    (pools, names)
}

fn pool(desk: &mut Desk<'_>, section: &Section<'_, '_>, name: &str, taken: &mut Addresses) -> PoolDef {
    let group = section.name(desk, "repeat_group").value;
    let discovery = section.read(desk, "discovery", values::address);
    let mode = mode(desk, section, discovery.at.is_some());
    let boxes = section.raw("boxes");
    if let (Some(address), Some(at)) = (discovery.value, &discovery.at) {
        taken.take_discovery(desk, address, at);
    }
    let list = boxes.map(|(value, at)| (boxes_of(desk, section, value, at.clone(), taken), at));
    let source = match (list, discovery.at) {
        (Some((boxes, at)), Some(other)) => {
            let finding = Finding::at(other, "pool.discovery: the pool has a list of boxes too", {
                "expected exactly one of `boxes` and `discovery`"
            });
            desk.add(finding.also(at, "the list"));
            Source::Static(boxes)
        }
        (Some((boxes, _)), None) => Source::Static(boxes),
        (None, Some(_)) => {
            let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
            Source::Discovery { address: discovery.value.unwrap_or(nowhere), mode }
        }
        // Its list stands there under a wrong name.
        (None, None) if section.misnamed("boxes").is_some() => Source::Static(Vec::new()),
        (None, None) => {
            let what = "a pool without boxes";
            let expected = "expected exactly one of `boxes` and `discovery`";
            desk.missing(&section.at, Finding::at(section.at.clone(), what, expected));
            Source::Static(Vec::new())
        }
    };
    PoolDef { name: name.to_string(), repeat_group: group.unwrap_or_else(|| name.to_string()), source }
}

fn mode(desk: &mut Desk<'_>, section: &Section<'_, '_>, discovered: bool) -> DiscoveryMode {
    let (word, within) = (section.word(desk, "discovery_mode"), section.span(desk, "must_ask_within"));
    let push = word.value == Some("push");
    if !discovered {
        let keys = [("discovery_mode", &word.at), ("must_ask_within", &within.at)];
        for (key, at) in keys.into_iter().filter_map(|(key, at)| Some((key, at.clone()?))) {
            let what = format!("pool.{key}: the pool has no discovery");
            desk.missing(&section.at, Finding::at(at, what, "expected beside `discovery` only"));
        }
    } else if let (true, Some(at)) = (push, within.at.clone()) {
        let what = "pool.must_ask_within: changes come unasked here";
        let finding = Finding::at(at, what, "expected with discovery_mode = \"subscribe\" only");
        desk.add(match word.at.clone() {
            Some(mode) => finding.also(mode, "the mode"),
            None => finding,
        });
    }
    match push {
        true => DiscoveryMode::Push,
        false => DiscoveryMode::Subscribe(within.or(Micros(0))),
    }
}

fn boxes_of(
    desk: &mut Desk<'_>, section: &Section<'_, '_>, value: &DeValue<'_>, at: Range<usize>,
    taken: &mut Addresses,
) -> Vec<BackendDef> {
    let DeValue::Array(items) = value else {
        section.wrong(desk, "boxes", at, &format!("{} does not fit here", describe(value)));
        return Vec::new();
    };
    if items.is_empty() && !desk.broken(&at) {
        section.wrong(desk, "boxes", at, "this list is empty");
    }
    let fits = taken.left;
    taken.left = fits.saturating_sub(items.len());
    // Once for all: the other values of a backend in its short form.
    let plain = long_box(&mut Desk::new(desk.source), &Section::absent(&BOX));
    let mut boxes = Vec::new();
    for item in items.iter().take(fits) {
        let (def, at) = match item.get_ref() {
            DeValue::Table(table) => {
                let long = Section::open(desk, &BOX, table, item.span());
                let at = long.raw("address").map(|(_, at)| at);
                (long_box(desk, &long), at)
            }
            short => (short_box(desk, section, short, item.span(), &plain), Some(item.span())),
        };
        if let (Some(def), Some(at)) = (def, at) {
            taken.take_box(desk, def.address, &at);
            boxes.push(def);
        }
    }
    if let Some(over) = items.get(fits).filter(|_| fits > 0 || taken.left == 0) {
        let what = format!("more than {BOXES} boxes");
        desk.add(Finding::at(over.span(), what, format!("expected at most {BOXES} in the file")));
    }
    boxes
}

fn reachable(address: SocketAddr) -> Result<SocketAddr, String> {
    match address.ip().is_unspecified() || address.ip().is_multicast() {
        true => Err(format!("one cannot connect to {}", address.ip())),
        false => Ok(address),
    }
}

fn short_box(
    desk: &mut Desk<'_>, section: &Section<'_, '_>, value: &DeValue<'_>, at: Range<usize>,
    plain: &Option<BackendDef>,
) -> Option<BackendDef> {
    let address = values::address(&crate::schema::Kind::Address, value).and_then(reachable);
    let address = address.map_err(|found| section.wrong(desk, "boxes", at, &found)).ok()?;
    plain.clone().map(|plain| BackendDef { address, bay: address.to_string(), ..plain })
}

fn long_box(desk: &mut Desk<'_>, table: &Section<'_, '_>) -> Option<BackendDef> {
    let address = table.read(desk, "address", |kind, value| values::address(kind, value).and_then(reachable));
    let kind = table.name(desk, "kind");
    let zone = table.name(desk, "zone");
    let bay = table.read(desk, "bay", values::bay);
    let cores = table.count(desk, "cores");
    let state = table.word(desk, "state");
    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
    let address = match address.at {
        Some(_) => address.value?,
        None => nowhere,
    };
    Some(BackendDef {
        address,
        kind: kind.or(String::new()),
        zone: zone.or(String::new()),
        bay: bay.value.unwrap_or_else(|| address.to_string()),
        cores: cores.or(1),
        state: match state.value {
            Some("draining") => BackendState::Draining,
            _ => BackendState::Ready,
        },
    })
}
