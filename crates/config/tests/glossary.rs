//! The glossary maps each key of the operators' file and each setting of the platform to its field.

use shaletide_config::operator::read;
use shaletide_config::schema::{
    NodeConfigKey, SectionSchema, ATTRIBUTE_SOURCE, BACKEND, HEADER_MATCH, NOT_EXECUTED_PROOF, SECTIONS,
};
use std::collections::{BTreeMap, BTreeSet};

const GLOSSARY: &str = include_str!("../../../docs/glossary.md");
const SAMPLE: &str = include_str!("../../../deploy/operator.example.toml");
const WIRE_NAMES: &str = include_str!("../src/platform/wire_names.rs");
const TITLE: &str = "## Keys of the operators' file and settings of the platform";
const SAME_NAME: &str = "Keys whose field has the same name";

/// Returns the parts of a text that are in backquotes.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

fn chapter() -> &'static str {
    GLOSSARY.split_once(TITLE).expect("the chapter").1
}

/// Returns the cells of each row of the chapter's first table, by key.
fn table() -> BTreeMap<&'static str, (&'static str, &'static str)> {
    let table = chapter().split_once(SAME_NAME).expect("the list of equal names").0;
    let mut rows = BTreeMap::new();
    for line in table.lines().filter(|line| line.starts_with("| `")) {
        let cells: Vec<&str> =
            line.trim_matches('|').split('|').map(|cell| cell.trim().trim_matches('`')).collect();
        assert!(rows.insert(cells[0], (cells[1], cells[2])).is_none(), "{} occurs twice", cells[0]);
    }
    rows
}

fn same_names() -> BTreeSet<&'static str> {
    let list = chapter().split_once(SAME_NAME).expect("the list of equal names").1;
    let list = list.split_once("):\n").expect("its introduction").1;
    quoted(list.split_once("\n\n").expect("its end").0).collect()
}

/// Returns every section with its own keys: `route.answers` has those of `answers`.
fn sections() -> impl Iterator<Item = &'static SectionSchema> {
    SECTIONS.iter().chain([&BACKEND, &ATTRIBUTE_SOURCE, &NOT_EXECUTED_PROOF, &HEADER_MATCH])
}

#[test]
fn each_key_of_the_schema_has_one_entry() {
    let (table, same) = (table(), same_names());
    let mut keys = BTreeSet::new();
    for section in sections() {
        for key in section.keys {
            let path = format!("{}.{}", section.name, key.name);
            let entries =
                usize::from(table.contains_key(path.as_str())) + usize::from(same.contains(path.as_str()));
            assert_eq!(entries, 1, "{path}");
            keys.insert(path);
        }
    }
    for entry in table.keys().chain(&same) {
        assert!(keys.contains(*entry), "the schema has no {entry}");
    }
}

#[test]
fn each_row_has_the_platform_setting_of_the_schema() {
    let table = table();
    for section in sections() {
        for key in section.keys {
            let path = format!("{}.{}", section.name, key.name);
            let Some((setting, _)) = table.get(path.as_str()) else { continue };
            let expected = match key.node_config {
                NodeConfigKey::Named(name) => name,
                NodeConfigKey::Extends | NodeConfigKey::Fixed => "-",
            };
            assert_eq!(*setting, expected, "{path}");
        }
    }
}

/// A file with a discovery pool; the pools of the sample are static.
const DISCOVERY: &str = "[[listener]]\naddress = \"127.0.0.1:8080\"\n[[class]]\nname = \"read\"\n\
                         [[pool]]\nname = \"all\"\ndiscovery = \"127.0.0.1:8500\"\n";

/// The configuration read from these files has the fields that the glossary names.
#[test]
fn fields_of_the_glossary_exist_in_the_configuration() {
    let read = |text| format!("{:#?}", read("file", text).expect("the file is valid"));
    let operator = read(SAMPLE) + &read(DISCOVERY);
    for (key, (_, field)) in table() {
        let name = field.rsplit("::").next().expect("a name");
        let is_field = operator.contains(&format!("{name}: "));
        let is_variant = operator.contains(&format!("{name}(")) || operator.contains(&format!("{name} {{"));
        assert!(is_field || is_variant, "{key}: {field}");
    }
    for key in same_names() {
        let name = key.rsplit('.').next().expect("a name");
        assert!(operator.contains(&format!("{name}: ")), "{key}");
    }
}

/// The platform's settings in the chapter are defined in `wire_names.rs`.
#[test]
fn platform_settings_are_defined_in_wire_names() {
    let settings = table().into_values().map(|(setting, _)| setting);
    for setting in settings.filter(|setting| setting.starts_with("settings.")) {
        let name = setting.rsplit('.').next().expect("a name");
        assert!(WIRE_NAMES.contains(&format!("\"{name}\"")), "{setting}");
    }
}
