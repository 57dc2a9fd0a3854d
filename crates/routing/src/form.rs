//! Where in a request its class, tenant, key and so on stand.

use shaletide_types::ClassId;

/// A place in a request's head.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The part of the path of that number, from 1: in `/read/k7` part 1 is `read`. Read as it stands,
    /// without decoding.
    Path(usize),
    /// A header, its name in lower case. Where it stands twice the request is refused.
    Header(String),
}

/// How a request is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Form {
    /// The name of its class.
    pub class: Source,
    /// The class of a request in which that place is empty or names no class; none: such a request is
    /// refused.
    pub otherwise: Option<ClassId>,
    /// The name of its tenant.
    pub tenant: Option<Source>,
    /// What keeps a keyed request from running twice.
    pub key: Source,
    /// The bay that it is about, for routes.
    pub bay: Option<Source>,
    /// The zone that it came from, for routes; none: the proxy's own.
    pub zone: Option<Source>,
    /// The header that names the request.
    pub id: String,
    /// A request without that header is refused; else it is given an id.
    pub id_required: bool,
    /// The header with the seconds that its client will wait.
    pub time_left: String,
}

impl Form {
    /// The platform's form, and the default of the operators' file but for `id_required`.
    pub fn platform() -> Form {
        Form {
            class: Source::Path(1),
            otherwise: None,
            tenant: Some(Source::Header("x-account".into())),
            key: Source::Header("idempotency-key".into()),
            bay: None,
            zone: None,
            id: "x-correlation-id".into(),
            id_required: true,
            time_left: "x-time-left".into(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_platform_form_reads_class_from_the_path_and_demands_an_id() {
        let form = Form::platform();
        assert_eq!(form.class, Source::Path(1));
        assert_eq!(form.tenant, Some(Source::Header("x-account".into())));
        assert_eq!(form.key, Source::Header("idempotency-key".into()));
        assert_eq!((form.otherwise, form.bay, form.zone), (None, None, None));
        assert!(form.id_required && form.id == "x-correlation-id" && form.time_left == "x-time-left");
    }
}
