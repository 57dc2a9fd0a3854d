//! The operators' page, made of the table.

use super::sections::{
    ATTRIBUTE_SOURCE, BACKEND, HEADER_MATCH, NOT_EXECUTED_PROOF, ROUTE_RESPONSES, SECTIONS,
};
use super::types::{DefaultValue, KeySchema, NodeConfigKey, SectionSchema, Shape};

const HEAD: &str = include_str!("page_head.md");

/// The whole of `docs/operator-file.md`.
pub fn page() -> String {
    let mut page = String::from(HEAD);
    for section in SECTIONS {
        page += &chapter(section, "##");
        let parts: &[&SectionSchema] = match section.name {
            "request" => &[&ATTRIBUTE_SOURCE],
            "pool" => &[&BACKEND],
            "answers" => &[&NOT_EXECUTED_PROOF],
            "route" => &[&HEADER_MATCH, &ROUTE_RESPONSES],
            _ => &[],
        };
        for part in parts {
            page += &chapter(part, "###");
        }
    }
    page + &beside_node_config()
}

fn chapter(section: &SectionSchema, mark: &str) -> String {
    let title = match (section.shape, section.name) {
        (Shape::Inline, "place") => "A place".to_string(),
        _ => format!("`{}`", section.header()),
    };
    let must = if section.required { " At least one must be there." } else { "" };
    let mut chapter = format!("\n{mark} {title}\n\n{}{must}\n\n", section.meaning);
    if section.name == ROUTE_RESPONSES.name {
        return chapter;
    }
    chapter += "| Key | Value | Default | A change takes effect at | Meaning |\n|---|---|---|---|---|\n";
    for key in section.keys {
        chapter += &row(key);
    }
    chapter
}

fn row(key: &KeySchema) -> String {
    let default = match key.default {
        DefaultValue::Required => "must be given".into(),
        DefaultValue::Value(text) => format!("`{text}`"),
        DefaultValue::Described(text) => text.to_string(),
    };
    let cells = [
        format!("`{}`", key.name),
        key.kind.short(),
        default,
        key.takes_effect.text().into(),
        key.meaning.into(),
    ];
    let safe = cells.map(|cell| cell.replace('|', "\\|"));
    format!("| {} |\n", safe.join(" | "))
}

fn beside_node_config() -> String {
    let mut text = String::from(
        "\n## Beside NODE_CONFIG\n\n`--with FILE` reads a file that adds to NODE_CONFIG only what the platform has \
         no word for. It may hold `[[pool]]`, `[[route]]`, `[answers]` and these keys:\n\n",
    );
    let tables = || SECTIONS.iter().filter(|s| s.shape == Shape::Table && s.name != "answers");
    let keys = || tables().flat_map(|s| s.keys.iter().map(move |k| (s.name, k)));
    for (section, key) in keys().filter(|(_, k)| k.node_config == NodeConfigKey::Extends) {
        text += &format!("- `{section}.{}`\n", key.name);
    }
    text += "\nThe pool `platform` is there without being named: the boxes that NODE_CONFIG's discovery tells of. \
             Without any route all requests go to it first, and to the file's pools behind it. In `[answers]` a key \
             that is absent is as on the platform: 200 is served, 503 and 504 with `X-Unprocessed: 1` never ran, and \
             of errors clients get the proxy's own words. All other keys are refused:\n\n\
             | Key | NODE_CONFIG's word |\n|---|---|\n";
    for section in SECTIONS {
        if let Some(word) = section.node_config_name {
            text += &format!("| `{}` | `{word}` |\n", section.header());
        }
    }
    for (section, key) in keys() {
        match key.node_config {
            NodeConfigKey::Extends => {}
            NodeConfigKey::Named(word) => text += &format!("| `{section}.{}` | `{word}` |\n", key.name),
            NodeConfigKey::Fixed => {
                text += &format!("| `{section}.{}` | none: the platform leaves no choice |\n", key.name)
            }
        }
    }
    text
}
