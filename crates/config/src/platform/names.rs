//! The names of zones, server types, classes and tenants, and the numbers that one proxy has for them.

use shaletide_balancer::{BackendEntry, BackendId, ClassId, ServerTypeId, TenantId, ZoneId};

/// Names in the order of their numbers. Zones and server types that are first met in a list are numbered then.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub(super) zones: Vec<String>,
    pub(super) server_types: Vec<String>,
    pub(super) classes: Vec<String>,
    pub(super) tenants: Vec<String>,
}

/// An entry of an endpoint list under its plain names; each proxy has numbers of its own for these.
#[derive(Clone, Debug)]
pub struct NamedEntry {
    /// Where it listens.
    pub address: String,
    zone: String,
    server_type: String,
    entry: BackendEntry,
}

impl NamedEntry {
    /// An entry of a backend. `shared_name` is what every proxy calls it: the stable hash is made of it.
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

/// FNV-1a of the name, the upper 44 bits.
fn stable_hash(name: &str) -> u64 {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, fold) >> 20
}

/// The number of a name; a name that is new gets the next.
pub(super) fn number(names: &mut Vec<String>, name: &str) -> u32 {
    let known = names.iter().position(|other| other == name);
    let number = known.unwrap_or_else(|| {
        names.push(name.into());
        names.len() - 1
    });
    number as u32
}

impl Names {
    /// The zones, in the order of their numbers.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// The server types, in the order of their numbers.
    pub fn server_types(&self) -> &[String] {
        &self.server_types
    }

    /// The classes, in the order of their numbers.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The tenants, in the order of their numbers.
    pub fn tenants(&self) -> &[String] {
        &self.tenants
    }

    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|other| other == name).map(ClassId)
    }

    /// The tenant of that name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.iter().position(|other| other == name).map(TenantId)
    }

    /// The entry with the numbers that this proxy has for its names.
    pub fn numbered(&mut self, named: &NamedEntry, id: BackendId) -> BackendEntry {
        let zone = ZoneId(number(&mut self.zones, &named.zone));
        let server_type = ServerTypeId(number(&mut self.server_types, &named.server_type));
        BackendEntry { id, zone, server_type, ..named.entry.clone() }
    }
}
