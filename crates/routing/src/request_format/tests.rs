//! The platform's request format.

use super::*;

#[test]
fn platform_format_reads_class_from_path_and_requires_an_id() {
    let format = RequestFormat::platform();
    assert_eq!(format.class, AttributeSource::Path(1));
    assert_eq!(format.tenant, Some(AttributeSource::Header("x-account".into())));
    assert_eq!(format.key, AttributeSource::Header("idempotency-key".into()));
    assert_eq!((format.default_class, format.deduplication_group, format.zone), (None, None, None));
    assert!(format.id_required && format.id == "x-correlation-id" && format.time_left == "x-time-left");
}
