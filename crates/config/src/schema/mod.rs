//! The schema of the operators' file: every section and key once, with its meaning, range, default and when a change
//! takes effect. The reader takes names, ranges, defaults and the words of its messages from here, and the operators'
//! page is generated from it.

mod define;
mod page;
mod process_keys;
mod request_keys;
mod routing_keys;
mod sections;
mod types;

pub use page::page;
pub(crate) use request_keys::MAX_PATH_PART;
pub use sections::{
    section, ATTRIBUTE_SOURCE, BACKEND, HEADER_MATCH, NOT_EXECUTED_PROOF, ROUTE_RESPONSES, SECTIONS,
};
pub use types::{
    duration_text, one_of, size_text, DefaultValue, KeySchema, NodeConfigKey, SectionSchema, Shape,
    TakesEffect, ValueKind,
};
