//! The names of zones, server types, classes and tenants, and the numbers that a proxy assigns to them.

use shaletide_balancer::{BackendEntry, BackendId, ClassId, ServerTypeId, TenantId, ZoneId};

/// Names in the order of their numbers. New zones and server types in an endpoint list get the next numbers.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub(super) zones: Vec<String>,
    pub(super) server_types: Vec<String>,
    pub(super) classes: Vec<String>,
    pub(super) tenants: Vec<String>,
}

/// An entry of an endpoint list with its names; each proxy numbers these names on its own.
#[derive(Clone, Debug)]
pub struct NamedEntry {
    /// Address that the backend listens on.
    pub address: String,
    zone: String,
    server_type: String,
    entry: BackendEntry,
}

impl NamedEntry {
    /// Creates the entry of a backend. `shared_name` is the backend's name in all proxies; the stable hash is computed from it.
    pub fn new(
        shared_name: &str, address: &str, zone: &str, server_type: &str, entry: BackendEntry,
    ) -> NamedEntry {
        NamedEntry {
            address: address.into(),
            zone: zone.into(),
            server_type: server_type.into(),
            entry: BackendEntry { stable_hash: stable_hash(shared_name), ..entry },
        }
    }
}

/// Returns the upper 44 bits of the name's FNV-1a hash.
fn stable_hash(name: &str) -> u64 {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, fold) >> 20
}

/// Returns the number of a name; a new name gets the next number.
pub(super) fn number(names: &mut Vec<String>, name: &str) -> u32 {
    let known = names.iter().position(|other| other == name);
    let number = known.unwrap_or_else(|| {
        names.push(name.into());
        names.len() - 1
    });
    number as u32
}

impl Names {
    /// Returns the zones in the order of their numbers.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// Returns the server types in the order of their numbers.
    pub fn server_types(&self) -> &[String] {
        &self.server_types
    }

    /// Returns the classes in the order of their numbers.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Returns the tenants in the order of their numbers.
    pub fn tenants(&self) -> &[String] {
        &self.tenants
    }

    /// Returns the number of the class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|other| other == name).map(ClassId)
    }

    /// Returns the number of the tenant of that name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.iter().position(|other| other == name).map(TenantId)
    }

    /// Returns the entry with this proxy's numbers for its names.
    pub fn assign_numbers(&mut self, named: &NamedEntry, id: BackendId) -> BackendEntry {
        let zone = ZoneId(number(&mut self.zones, &named.zone));
        let server_type = ServerTypeId(number(&mut self.server_types, &named.server_type));
        BackendEntry { id, zone, server_type, ..named.entry.clone() }
    }
}
