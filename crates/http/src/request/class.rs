//! Determines the class of a request from its path or a header.

use super::attributes::attribute;
use super::path::percent_decoded;
use crate::request_error::RequestError;
use crate::rules::{AttributeLocation, Rules};
use hyper::http::request::Parts;
use shaletide_balancer::ClassId;

/// Returns the class of a request. In a path, the longest matching class name of several segments is preferred, then the
/// name of a single segment, then the default class.
///
/// # Errors
/// If there is no such class, or if a backend could find a different class in the path.
pub(super) fn class_of(rules: &Rules, head: &Parts) -> Result<ClassId, RequestError> {
    let named = attribute(&rules.class, head)?.and_then(|name| rules.class_by_name.get(name)).copied();
    match rules.class {
        AttributeLocation::Header(_) => named.or(rules.default_class).ok_or(RequestError::UnknownClass),
        AttributeLocation::Path(segment) => {
            let path = head.uri.path();
            let multi = multi_segment_class(rules, path.split('/').skip(segment).map(str::as_bytes));
            let class = multi.or(named).or(rules.default_class).ok_or(RequestError::UnknownClass)?;
            if alternative_classes(rules, path, segment).any(|other| other != class) {
                return Err(RequestError::AmbiguousPath);
            }
            Ok(class)
        }
    }
}

/// Returns the class whose name has several segments and is a prefix of these path segments.
fn multi_segment_class<'a>(
    rules: &Rules, segments: impl Iterator<Item = &'a [u8]> + Clone,
) -> Option<ClassId> {
    let is_prefix = |name: &[String]| segments.clone().take(name.len()).eq(name.iter().map(String::as_bytes));
    rules.multi_segment_classes.iter().find(|(name, _)| is_prefix(name)).map(|(_, class)| *class)
}

/// Returns the classes that a backend could find at that segment of the path if it decodes paths, skips empty segments or
/// removes parameters.
fn alternative_classes<'a>(
    rules: &'a Rules, path: &'a str, segment: usize,
) -> impl Iterator<Item = ClassId> + 'a {
    let empty_segments_matter = segment > 1 || !rules.multi_segment_classes.is_empty();
    let is_ambiguous = path.contains(['%', ';']) || empty_segments_matter && path.contains("//");
    let readings = is_ambiguous.then(|| {
        let once = percent_decoded(path.as_bytes());
        let twice = percent_decoded(&once);
        [path.as_bytes().to_vec(), once.to_vec(), twice.to_vec()]
    });
    readings.into_iter().flatten().filter_map(move |path| class_without_parameters(rules, &path, segment))
}

/// Returns the class at that segment of a path, ignoring empty segments and parameters.
fn class_without_parameters(rules: &Rules, path: &[u8], segment: usize) -> Option<ClassId> {
    let segments = path.split(|byte| *byte == b'/').filter(|segment| !segment.is_empty());
    let segments: Vec<&[u8]> = segments
        .skip(segment.saturating_sub(1))
        .map(|segment| segment.split(|byte| *byte == b';').next().unwrap_or_default())
        .collect();
    if let Some(class) = multi_segment_class(rules, segments.iter().copied()) {
        return Some(class);
    }
    let name = std::str::from_utf8(segments.first()?).ok()?;
    rules.class_by_name.get(name).copied()
}
