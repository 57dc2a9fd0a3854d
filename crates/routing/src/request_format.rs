//! Where a request carries its class, tenant, key and other attributes.

#[cfg(test)]
mod tests;

use shaletide_types::ClassId;

/// A part of a request's head that carries an attribute.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AttributeSource {
    /// The path segment with this number, from 1: in `/read/k7` segment 1 is `read`. It is not decoded.
    Path(usize),
    /// A header, by its name in lower case. A request that has the header twice is rejected as malformed.
    Header(String),
}

/// The sources of a request's attributes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestFormat {
    /// The source of the class name.
    pub class: AttributeSource,
    /// The class of a request that names no class or an unknown one; `None`: such a request is rejected as malformed.
    pub default_class: Option<ClassId>,
    /// The source of the tenant name.
    pub tenant: Option<AttributeSource>,
    /// The source of the idempotency key.
    pub key: AttributeSource,
    /// The source of the deduplication group that routes match.
    pub deduplication_group: Option<AttributeSource>,
    /// The source of the zone that routes match; `None`: the proxy's own zone.
    pub zone: Option<AttributeSource>,
    /// The header that carries the request's id.
    pub id: String,
    /// Whether a request without an id is rejected as malformed; otherwise the proxy assigns an id.
    pub id_required: bool,
    /// The header that carries the seconds for which the client will wait.
    pub time_left: String,
}

impl RequestFormat {
    /// The platform's format. Except for `id_required`, it is also the default of the operators' configuration file.
    pub fn platform() -> RequestFormat {
        RequestFormat {
            class: AttributeSource::Path(1),
            default_class: None,
            tenant: Some(AttributeSource::Header("x-account".into())),
            key: AttributeSource::Header("idempotency-key".into()),
            deduplication_group: None,
            zone: None,
            id: "x-correlation-id".into(),
            id_required: true,
            time_left: "x-time-left".into(),
        }
    }
}
