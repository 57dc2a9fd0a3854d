//! Units, and constructors that keep the tables short.

use super::types::{Default, Key, Kind, Platform, Section, Shape, When};

pub(super) const MS: u64 = 1_000;
pub(super) const S: u64 = 1_000_000;
pub(super) const HOUR: u64 = 3_600 * S;
pub(super) const KIB: u64 = 1 << 10;
pub(super) const MIB: u64 = 1 << 20;
pub(super) const GIB: u64 = 1 << 30;

pub(super) const fn key(
    name: &'static str, kind: Kind, default: Default, when: When, platform: Platform, meaning: &'static str,
) -> Key {
    Key { name, kind, default, when, platform, meaning }
}

pub(super) const fn table(name: &'static str, meaning: &'static str, keys: &'static [Key]) -> Section {
    Section { name, shape: Shape::Table, required: false, meaning, platform: None, keys }
}

pub(super) const fn list(
    name: &'static str, required: bool, platform: Option<&'static str>, meaning: &'static str,
    keys: &'static [Key],
) -> Section {
    Section { name, shape: Shape::List, required, meaning, platform, keys }
}

pub(super) const fn inline(name: &'static str, meaning: &'static str, keys: &'static [Key]) -> Section {
    Section { name, shape: Shape::Inline, required: false, meaning, platform: None, keys }
}
