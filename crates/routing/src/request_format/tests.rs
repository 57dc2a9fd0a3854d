//! The platform's format.

use super::*;

#[test]
fn platform_format_reads_class_from_path_and_requires_an_id() {
    let form = RequestFormat::platform();
    assert_eq!(form.class, AttributeSource::Path(1));
    assert_eq!(form.tenant, Some(AttributeSource::Header("x-account".into())));
    assert_eq!(form.key, AttributeSource::Header("idempotency-key".into()));
    assert_eq!((form.default_class, form.deduplication_group, form.zone), (None, None, None));
    assert!(form.id_required && form.id == "x-correlation-id" && form.time_left == "x-time-left");
}
