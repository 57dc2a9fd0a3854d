//! The schema of the operators' file. It defines every section and key once, with its meaning, range and default and the
//! event at which a change takes effect. The reader takes names, ranges, defaults and the texts of its messages from the
//! schema, and the operators' page is generated from it.

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
