//! The operators' page and the sample file agree with the schema.

use shaletide_config::operator::read;
use shaletide_config::schema::{
    page, SectionSchema, ATTRIBUTE_SOURCE, BACKEND, HEADER_MATCH, NOT_EXECUTED_PROOF, ROUTE_RESPONSES,
    SECTIONS,
};

const PAGE: &str = include_str!("../../../docs/operator-file.md");
const SAMPLE: &str = include_str!("../../../deploy/operator.example.toml");

fn sections() -> impl Iterator<Item = &'static SectionSchema> {
    SECTIONS.iter().chain([&BACKEND, &ATTRIBUTE_SOURCE, &NOT_EXECUTED_PROOF, &HEADER_MATCH, &ROUTE_RESPONSES])
}

/// `cargo run -q -p shaletide-config --example operator_page > docs/operator-file.md` updates the page.
#[test]
fn page_is_generated_from_the_schema() {
    assert!(page() == PAGE, "docs/operator-file.md differs from the page generated from the schema");
}

#[test]
fn every_key_is_in_the_sample_and_on_the_page() {
    for section in sections() {
        for key in section.keys {
            let shown = SAMPLE.lines().any(|line| line.contains(&format!("{} = ", key.name)));
            assert!(shown, "{}.{} is not in the sample", section.name, key.name);
            assert!(PAGE.contains(&format!("| `{}` |", key.name)), "{}.{}", section.name, key.name);
        }
    }
    for section in SECTIONS {
        assert!(SAMPLE.lines().any(|line| line == section.header()), "{}", section.header());
    }
}

#[test]
fn example_file_of_the_page_is_valid_and_its_example_problem_is_reported_as_shown() {
    let blocks: Vec<&str> = PAGE.split("```").collect();
    let file = blocks[1].strip_prefix("toml\n").unwrap();
    assert!(read("operator.toml", file).is_ok());
    let text = format!("{file}{}[limits]\nmax_attempts = 99\n", "\n".repeat(0));
    let skip = 12 - text.lines().count();
    let text = format!("{}{text}", "\n".repeat(skip));
    let report = read("operator.toml", &text).unwrap_err();
    assert_eq!(format!("\n{}\n", report.problems()[0].block), blocks[3]);
}

#[test]
fn meanings_end_with_a_period() {
    for key in sections().flat_map(|s| s.keys) {
        assert!(key.meaning.ends_with('.'), "{}", key.name);
    }
}
