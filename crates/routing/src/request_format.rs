//! Where in a request its class, tenant, key and other attributes stand.

#[cfg(test)]
mod tests;

use shaletide_types::ClassId;

/// A place in a request's head.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AttributeSource {
    /// The path's segment of that number, from 1: in `/read/k7` segment 1 is `read`. Read as it stands, without
    /// decoding.
    Path(usize),
    /// A header, its name in lower case. A request that has it twice is rejected as malformed.
    Header(String),
}

/// How a request is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestFormat {
    /// The name of its class.
    pub class: AttributeSource,
    /// The class of a request in which that place is empty or names no class; none: such a request is rejected as
    /// malformed.
    pub default_class: Option<ClassId>,
    /// The name of its tenant.
    pub tenant: Option<AttributeSource>,
    /// The idempotency key.
    pub key: AttributeSource,
    /// The deduplication group that it is about, for routes.
    pub deduplication_group: Option<AttributeSource>,
    /// The zone that it came from, for routes; none: the proxy's own.
    pub zone: Option<AttributeSource>,
    /// The header with the request's id.
    pub id: String,
    /// A request without that header is rejected as malformed; else it is given an id.
    pub id_required: bool,
    /// The header with the seconds that its client will wait.
    pub time_left: String,
}

impl RequestFormat {
    /// The platform's format, and the default of the operators' file but for `id_required`.
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
