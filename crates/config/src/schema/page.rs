//! Generates the operators' page from the schema.

use super::sections::{
    ATTRIBUTE_SOURCE, BACKEND, HEADER_MATCH, NOT_EXECUTED_PROOF, ROUTE_RESPONSES, SECTIONS,
};
use super::types::{DefaultValue, KeySchema, NodeConfigKey, SectionSchema, Shape};

const HEAD: &str = include_str!("page_head.md");

/// Returns the content of `docs/operator-file.md`.
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
    page + &node_config_section()
}

fn chapter(section: &SectionSchema, heading_mark: &str) -> String {
    let title = match (section.shape, section.name) {
        (Shape::Inline, "place") => "Attribute source".to_string(),
        _ => format!("`{}`", section.header()),
    };
    let required_note = if section.required { " At least one is required." } else { "" };
    let mut chapter = format!("\n{heading_mark} {title}\n\n{}{required_note}\n\n", section.meaning);
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
        DefaultValue::Required => "required".into(),
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
    let escaped = cells.map(|cell| cell.replace('|', "\\|"));
    format!("| {} |\n", escaped.join(" | "))
}

fn node_config_section() -> String {
    let mut text = String::from(
        "\n## Extending NODE_CONFIG\n\n`--with FILE` reads a file that extends NODE_CONFIG with settings that the \
         platform does not have. It may contain `[[pool]]`, `[[route]]`, `[answers]` and these keys:\n\n",
    );
    let tables = || SECTIONS.iter().filter(|s| s.shape == Shape::Table && s.name != "answers");
    let keys = || tables().flat_map(|s| s.keys.iter().map(move |k| (s.name, k)));
    for (section, key) in keys().filter(|(_, k)| k.node_config == NodeConfigKey::Extends) {
        text += &format!("- `{section}.{}`\n", key.name);
    }
    text += "\nThe pool `platform` always exists: it has the backends from NODE_CONFIG's discovery. Without any route all \
             requests go to this pool first and then to the file's pools. A key that is absent in `[answers]` has the \
             platform's value: status 200 is served, 503 and 504 with `X-Unprocessed: 1` prove that the request was \
             not executed, and clients get the proxy's own response instead of a backend's error. All other keys are \
             rejected:\n\n\
             | Key | Name in NODE_CONFIG |\n|---|---|\n";
    for section in SECTIONS {
        if let Some(setting) = section.node_config_name {
            text += &format!("| `{}` | `{setting}` |\n", section.header());
        }
    }
    for (section, key) in keys() {
        match key.node_config {
            NodeConfigKey::Extends => {}
            NodeConfigKey::Named(setting) => text += &format!("| `{section}.{}` | `{setting}` |\n", key.name),
            NodeConfigKey::Fixed => {
                text += &format!("| `{section}.{}` | none: the platform fixes this value |\n", key.name)
            }
        }
    }
    text
}
