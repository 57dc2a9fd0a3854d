//! Units, and constructors that shorten the definitions of keys and sections.

use super::types::{DefaultValue, KeySchema, NodeConfigKey, SectionSchema, Shape, TakesEffect, ValueKind};

pub(super) const MS: u64 = 1_000;
pub(super) const S: u64 = 1_000_000;
pub(super) const HOUR: u64 = 3_600 * S;
pub(super) const KIB: u64 = 1 << 10;
pub(super) const MIB: u64 = 1 << 20;
pub(super) const GIB: u64 = 1 << 30;

pub(super) const fn key(
    name: &'static str, kind: ValueKind, default: DefaultValue, takes_effect: TakesEffect,
    node_config: NodeConfigKey, meaning: &'static str,
) -> KeySchema {
    KeySchema { name, kind, default, takes_effect, node_config, meaning }
}

pub(super) const fn table(
    name: &'static str, meaning: &'static str, keys: &'static [KeySchema],
) -> SectionSchema {
    SectionSchema { name, shape: Shape::Table, required: false, meaning, node_config_name: None, keys }
}

pub(super) const fn list(
    name: &'static str, required: bool, node_config_name: Option<&'static str>, meaning: &'static str,
    keys: &'static [KeySchema],
) -> SectionSchema {
    SectionSchema { name, shape: Shape::List, required, meaning, node_config_name, keys }
}

pub(super) const fn inline(
    name: &'static str, meaning: &'static str, keys: &'static [KeySchema],
) -> SectionSchema {
    SectionSchema { name, shape: Shape::Inline, required: false, meaning, node_config_name: None, keys }
}
