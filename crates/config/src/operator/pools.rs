//! Pools and their backends.

use super::names::Index;
use super::types::{BackendDef, PoolDef, Source};
use crate::diagnostic::Diagnostic;
use crate::diagnostics::Diagnostics;
use crate::document::File;
use crate::schema::BOX;
use crate::section::Section;
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

    fn take_box(&mut self, diagnostics: &mut Diagnostics<'_>, address: SocketAddr, at: &Range<usize>) {
        let expected = "expected each box once in the file";
        let again = format!("pool.boxes: the address {address} stands twice");
        take(&mut self.boxes, diagnostics, address, at, again, expected);
        let own = self.listeners.iter().find(|(listener, _)| {
            let any = listener.ip().is_unspecified() && address.ip().is_loopback();
            listener.port() == address.port() && (any || listener.ip() == address.ip())
        });
        if let Some((_, listener)) = own {
            let what = format!("pool.boxes: {address} is this proxy itself");
            let diagnostic = Diagnostic::at(at.clone(), what, "expected another address than the listeners'");
            diagnostics.push(diagnostic.with_related(listener.clone(), "it listens here"));
        }
    }

    fn take_discovery(&mut self, diagnostics: &mut Diagnostics<'_>, address: SocketAddr, at: &Range<usize>) {
        let again = format!("pool.discovery: the address {address} stands twice");
        let expected = "expected each discovery in one pool, as its boxes may be in one only";
        take(&mut self.discoveries, diagnostics, address, at, again, expected);
    }
}

fn take(
    taken: &mut HashMap<SocketAddr, Range<usize>>, diagnostics: &mut Diagnostics<'_>, address: SocketAddr,
    at: &Range<usize>, again: String, expected: &str,
) {
    match taken.get(&address) {
        Some(first) => diagnostics
            .push(Diagnostic::at(at.clone(), again, expected).with_related(first.clone(), "first here")),
        None => {
            taken.insert(address, at.clone());
        }
    }
}

/// The pools and their names.
pub(super) fn pools(
    diagnostics: &mut Diagnostics<'_>, file: &File<'_, '_>, taken: &mut Addresses,
) -> (Vec<PoolDef>, Index) {
    let (sections, all) = file.list(diagnostics, "pool", POOLS);
    let names = Index::read(diagnostics, "pool", &sections, all);
    let each = sections.iter().zip(names.in_order());
    let pools = each.map(|(section, name)| pool(diagnostics, section, name, taken)).collect();
    (pools, names)
}

fn pool(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, name: &str, taken: &mut Addresses,
) -> PoolDef {
    let group = section.name(diagnostics, "repeat_group").value;
    let discovery = section.read(diagnostics, "discovery", values::address);
    let mode = mode(diagnostics, section, discovery.at.is_some());
    let boxes = section.raw("boxes");
    if let (Some(address), Some(at)) = (discovery.value, &discovery.at) {
        taken.take_discovery(diagnostics, address, at);
    }
    let list = boxes.map(|(value, at)| (boxes_of(diagnostics, section, value, at.clone(), taken), at));
    let source = match (list, discovery.at) {
        (Some((boxes, at)), Some(other)) => {
            let diagnostic = Diagnostic::at(other, "pool.discovery: the pool has a list of boxes too", {
                "expected exactly one of `boxes` and `discovery`"
            });
            diagnostics.push(diagnostic.with_related(at, "the list"));
            Source::Static(boxes)
        }
        (Some((boxes, _)), None) => Source::Static(boxes),
        (None, Some(_)) => {
            let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
            Source::Discovery { address: discovery.value.unwrap_or(nowhere), mode }
        }
        // Its list stands there under a wrong name.
        (None, None) if section.misspelled("boxes").is_some() => Source::Static(Vec::new()),
        (None, None) => {
            let what = "a pool without boxes";
            let expected = "expected exactly one of `boxes` and `discovery`";
            diagnostics.push_missing(&section.at, Diagnostic::at(section.at.clone(), what, expected));
            Source::Static(Vec::new())
        }
    };
    PoolDef { name: name.to_string(), repeat_group: group.unwrap_or_else(|| name.to_string()), source }
}

fn mode(diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, discovered: bool) -> DiscoveryMode {
    let (word, within) =
        (section.word(diagnostics, "discovery_mode"), section.span(diagnostics, "must_ask_within"));
    let push = word.value == Some("push");
    if !discovered {
        let keys = [("discovery_mode", &word.at), ("must_ask_within", &within.at)];
        for (key, at) in keys.into_iter().filter_map(|(key, at)| Some((key, at.clone()?))) {
            let what = format!("pool.{key}: the pool has no discovery");
            diagnostics
                .push_missing(&section.at, Diagnostic::at(at, what, "expected beside `discovery` only"));
        }
    } else if let (true, Some(at)) = (push, within.at.clone()) {
        let what = "pool.must_ask_within: changes come unasked here";
        let diagnostic = Diagnostic::at(at, what, "expected with discovery_mode = \"subscribe\" only");
        diagnostics.push(match word.at.clone() {
            Some(mode) => diagnostic.with_related(mode, "the mode"),
            None => diagnostic,
        });
    }
    match push {
        true => DiscoveryMode::Push,
        false => DiscoveryMode::Subscribe(within.or(Micros(0))),
    }
}

fn boxes_of(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, value: &DeValue<'_>, at: Range<usize>,
    taken: &mut Addresses,
) -> Vec<BackendDef> {
    let DeValue::Array(items) = value else {
        section.push_invalid(diagnostics, "boxes", at, &format!("{} does not fit here", describe(value)));
        return Vec::new();
    };
    if items.is_empty() && !diagnostics.has_syntax_error_in(&at) {
        section.push_invalid(diagnostics, "boxes", at, "this list is empty");
    }
    let fits = taken.left;
    taken.left = fits.saturating_sub(items.len());
    // Once for all: the other values of a backend in its short form.
    let plain = long_box(&mut Diagnostics::new(diagnostics.source), &Section::absent(&BOX));
    let mut boxes = Vec::new();
    for item in items.iter().take(fits) {
        let (def, at) = match item.get_ref() {
            DeValue::Table(table) => {
                let long = Section::open(diagnostics, &BOX, table, item.span());
                let at = long.raw("address").map(|(_, at)| at);
                (long_box(diagnostics, &long), at)
            }
            short => (short_box(diagnostics, section, short, item.span(), &plain), Some(item.span())),
        };
        if let (Some(def), Some(at)) = (def, at) {
            taken.take_box(diagnostics, def.address, &at);
            boxes.push(def);
        }
    }
    if let Some(over) = items.get(fits).filter(|_| fits > 0 || taken.left == 0) {
        let what = format!("more than {BOXES} boxes");
        diagnostics.push(Diagnostic::at(over.span(), what, format!("expected at most {BOXES} in the file")));
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
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, value: &DeValue<'_>, at: Range<usize>,
    plain: &Option<BackendDef>,
) -> Option<BackendDef> {
    let address = values::address(&crate::schema::Kind::Address, value).and_then(reachable);
    let address = address.map_err(|found| section.push_invalid(diagnostics, "boxes", at, &found)).ok()?;
    plain.clone().map(|plain| BackendDef { address, bay: address.to_string(), ..plain })
}

fn long_box(diagnostics: &mut Diagnostics<'_>, table: &Section<'_, '_>) -> Option<BackendDef> {
    let address =
        table.read(diagnostics, "address", |kind, value| values::address(kind, value).and_then(reachable));
    let kind = table.name(diagnostics, "kind");
    let zone = table.name(diagnostics, "zone");
    let bay = table.read(diagnostics, "bay", values::bay);
    let cores = table.count(diagnostics, "cores");
    let state = table.word(diagnostics, "state");
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
