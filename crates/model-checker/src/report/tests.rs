//! Tests of `report` that need its private items.

use super::with_thousands_separators;

#[test]
fn numbers_are_grouped_by_thousands() {
    let cases = [(0, "0"), (999, "999"), (1_000, "1,000"), (1_234_567, "1,234,567")];
    cases.iter().for_each(|(number, text)| assert_eq!(with_thousands_separators(*number), *text));
}
