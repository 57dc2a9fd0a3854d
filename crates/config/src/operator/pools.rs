//! Reads the pools and their backends.

use super::names::NameIndex;
use super::types::{PoolConfig, PoolSource, StaticBackend};
use crate::diagnostic::Diagnostic;
use crate::diagnostics::Diagnostics;
use crate::document::Document;
use crate::schema::{ValueKind, BACKEND};
use crate::section::Section;
use crate::values::{self, describe};
use shaletide_balancer::{BackendState, DiscoveryMode, Micros};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::Range;
use toml::de::DeValue;

/// Maximum number of pools in a file.
const MAX_POOLS: usize = 64;
/// Maximum number of backends in a file.
const MAX_BACKENDS: usize = 10_000;

/// Replaces a missing or invalid address; the file is then rejected.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// The addresses read so far. An address may occur only once in the file, whatever the pool.
pub(super) struct UsedAddresses {
    listeners: Vec<(SocketAddr, Range<usize>)>,
    backends: HashMap<SocketAddr, Range<usize>>,
    discoveries: HashMap<SocketAddr, Range<usize>>,
    /// Number of further backends that the file may have.
    backends_left: usize,
}

impl UsedAddresses {
    /// Starts with the proxy's own listeners only.
    pub fn new(listeners: Vec<(SocketAddr, Range<usize>)>) -> UsedAddresses {
        UsedAddresses {
            listeners,
            backends: HashMap::new(),
            discoveries: HashMap::new(),
            backends_left: MAX_BACKENDS,
        }
    }

    /// Adds a backend's address; reports a duplicate and an address of the proxy itself.
    fn add_backend(&mut self, diagnostics: &mut Diagnostics<'_>, address: SocketAddr, span: &Range<usize>) {
        if let Some(first) = insert_or_first(&mut self.backends, address, span) {
            let message = format!("pool.boxes: the address {address} occurs twice");
            let diagnostic = Diagnostic::at(span.clone(), message, "expected each backend once in the file");
            diagnostics.push(diagnostic.with_related(first, "first here"));
        }
        let listener = self.listeners.iter().find(|(listener, _)| is_reached_at(listener, &address));
        if let Some((_, listener)) = listener {
            let message = format!("pool.boxes: {address} is this proxy itself");
            let expected = "expected another address than the listeners'";
            let diagnostic = Diagnostic::at(span.clone(), message, expected);
            diagnostics.push(diagnostic.with_related(listener.clone(), "it listens here"));
        }
    }

    /// Adds the address of a discovery service; reports a duplicate.
    fn add_discovery(&mut self, diagnostics: &mut Diagnostics<'_>, address: SocketAddr, span: &Range<usize>) {
        if let Some(first) = insert_or_first(&mut self.discoveries, address, span) {
            let message = format!("pool.discovery: the address {address} occurs twice");
            let expected =
                "expected each discovery service in one pool only, as a backend belongs to one pool";
            let diagnostic = Diagnostic::at(span.clone(), message, expected);
            diagnostics.push(diagnostic.with_related(first, "first here"));
        }
    }
}

/// Adds an address. Returns the span of its first occurrence if it is a duplicate.
fn insert_or_first(
    known: &mut HashMap<SocketAddr, Range<usize>>, address: SocketAddr, span: &Range<usize>,
) -> Option<Range<usize>> {
    let first = known.get(&address).cloned();
    if first.is_none() {
        known.insert(address, span.clone());
    }
    first
}

/// Returns whether a connection to the address would reach the listener.
fn is_reached_at(listener: &SocketAddr, address: &SocketAddr) -> bool {
    let any_loopback = listener.ip().is_unspecified() && address.ip().is_loopback();
    listener.port() == address.port() && (any_loopback || listener.ip() == address.ip())
}

/// The pools and their names, in the same order.
pub(super) struct Pools {
    pub configs: Vec<PoolConfig>,
    pub names: NameIndex,
}

pub(super) fn pools(
    diagnostics: &mut Diagnostics<'_>, document: &Document<'_, '_>, addresses: &mut UsedAddresses,
) -> Pools {
    let sections = document.list(diagnostics, "pool", MAX_POOLS);
    let names = NameIndex::of_sections(diagnostics, "pool", &sections);
    let mut configs = Vec::new();
    for (section, name) in sections.items.iter().zip(names.in_order()) {
        configs.push(read_pool(diagnostics, section, name, addresses));
    }
    Pools { configs, names }
}

fn read_pool(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, name: &str, addresses: &mut UsedAddresses,
) -> PoolConfig {
    let domain = section.name(diagnostics, "repeat_group").value;
    let source = read_source(diagnostics, section, addresses);
    let deduplication_domain = domain.unwrap_or_else(|| name.to_string());
    PoolConfig { name: name.to_string(), deduplication_domain, source }
}

/// Reads the source of the backends: exactly one of a static list and a discovery service.
fn read_source(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, addresses: &mut UsedAddresses,
) -> PoolSource {
    let discovery = section.read(diagnostics, "discovery", values::address);
    let mode = read_mode(diagnostics, section, discovery.span.is_some());
    if let (Some(address), Some(span)) = (discovery.value, &discovery.span) {
        addresses.add_discovery(diagnostics, address, span);
    }
    let expected = "expected exactly one of `boxes` and `discovery`";
    if let Some((value, span)) = section.raw("boxes") {
        let backends = read_backends(diagnostics, section, value, span.clone(), addresses);
        if let Some(discovery) = discovery.span {
            let message = "pool.discovery: the pool has `boxes` as well";
            let diagnostic = Diagnostic::at(discovery, message, expected);
            diagnostics.push(diagnostic.with_related(span, "the list"));
        }
        return PoolSource::Static(backends);
    }
    if discovery.span.is_some() {
        return PoolSource::Discovery { address: discovery.value.unwrap_or(PLACEHOLDER_ADDRESS), mode };
    }
    if section.misspelled("boxes").is_none() {
        let diagnostic =
            Diagnostic::at(section.span.clone(), "the pool has neither `boxes` nor `discovery`", expected);
        diagnostics.push_missing(&section.span, diagnostic);
    }
    PoolSource::Static(Vec::new())
}

fn read_mode(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, has_discovery: bool,
) -> DiscoveryMode {
    let word = section.choice(diagnostics, "discovery_mode");
    let poll_within = section.duration(diagnostics, "must_ask_within");
    let is_push = word.value == Some("push");
    if !has_discovery {
        let keys = [("discovery_mode", word.span), ("must_ask_within", poll_within.span.clone())];
        for (key, span) in keys {
            let Some(span) = span else { continue };
            let message = format!("pool.{key}: the pool has no `discovery`");
            let diagnostic = Diagnostic::at(span, message, "expected only together with `discovery`");
            diagnostics.push_missing(&section.span, diagnostic);
        }
    } else if let (true, Some(span)) = (is_push, poll_within.span.clone()) {
        let message = "pool.must_ask_within: the pool uses discovery_mode = \"push\"";
        let expected = "expected only with discovery_mode = \"subscribe\"";
        let diagnostic = Diagnostic::at(span, message, expected);
        diagnostics.push(match word.span {
            Some(mode) => diagnostic.with_related(mode, "the mode"),
            None => diagnostic,
        });
    }
    if is_push {
        DiscoveryMode::Push
    } else {
        DiscoveryMode::Subscribe(poll_within.or_placeholder(Micros(0)))
    }
}

fn read_backends(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, value: &DeValue<'_>, span: Range<usize>,
    addresses: &mut UsedAddresses,
) -> Vec<StaticBackend> {
    let DeValue::Array(items) = value else {
        let found = format!("{} is not allowed here", describe(value));
        section.push_invalid(diagnostics, "boxes", span, &found);
        return Vec::new();
    };
    if items.is_empty() && !diagnostics.has_syntax_error_in(&span) {
        section.push_invalid(diagnostics, "boxes", span, "this list is empty");
    }
    let max = addresses.backends_left;
    addresses.backends_left = max.saturating_sub(items.len());
    // The defaults of a backend in short form, read once for all of them.
    let defaults = read_long_form(&mut Diagnostics::new(diagnostics.source), &Section::absent(&BACKEND));
    let mut backends = Vec::new();
    for item in items.iter().take(max) {
        let (backend, address_span) = match item.get_ref() {
            DeValue::Table(table) => {
                let table = Section::open(diagnostics, &BACKEND, table, item.span());
                let address_span = table.span_of("address");
                (read_long_form(diagnostics, &table), address_span)
            }
            address => {
                let backend = read_short_form(diagnostics, section, address, item.span(), &defaults);
                (backend, Some(item.span()))
            }
        };
        if let (Some(backend), Some(address_span)) = (backend, address_span) {
            addresses.add_backend(diagnostics, backend.address, &address_span);
            backends.push(backend);
        }
    }
    if let Some(excess) = items.get(max).filter(|_| max > 0 || addresses.backends_left == 0) {
        let expected = format!("expected at most {MAX_BACKENDS} in the file");
        diagnostics.push(Diagnostic::at(
            excess.span(),
            format!("more than {MAX_BACKENDS} backends"),
            expected,
        ));
    }
    backends
}

/// Checks that an address can be connected to.
fn connectable(address: SocketAddr) -> Result<SocketAddr, String> {
    if address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(format!("{} cannot be connected to", address.ip()));
    }
    Ok(address)
}

/// Reads a backend in short form: its address alone.
fn read_short_form(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, value: &DeValue<'_>, span: Range<usize>,
    defaults: &Option<StaticBackend>,
) -> Option<StaticBackend> {
    match values::address(&ValueKind::Address, value).and_then(connectable) {
        Ok(address) => {
            let defaults = defaults.clone()?;
            Some(StaticBackend { address, deduplication_group: address.to_string(), ..defaults })
        }
        Err(found) => {
            section.push_invalid(diagnostics, "boxes", span, &found);
            None
        }
    }
}

/// Reads a backend in long form: a table.
fn read_long_form(diagnostics: &mut Diagnostics<'_>, table: &Section<'_, '_>) -> Option<StaticBackend> {
    let address =
        table.read(diagnostics, "address", |kind, value| values::address(kind, value).and_then(connectable));
    let server_type = table.name(diagnostics, "kind");
    let zone = table.name(diagnostics, "zone");
    let group = table.read(diagnostics, "bay", values::deduplication_group);
    let cores = table.count(diagnostics, "cores");
    let state = table.choice(diagnostics, "state");
    let address = if address.span.is_some() { address.value? } else { PLACEHOLDER_ADDRESS };
    Some(StaticBackend {
        address,
        server_type: server_type.or_placeholder(String::new()),
        zone: zone.or_placeholder(String::new()),
        deduplication_group: group.value.unwrap_or_else(|| address.to_string()),
        cores: cores.or_placeholder(1),
        state: match state.value {
            Some("draining") => BackendState::Draining,
            _ => BackendState::Ready,
        },
    })
}
