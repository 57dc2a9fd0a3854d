//! Tests of `cpu` that need its private items.

use super::*;

#[test]
fn a_name_with_brackets_and_spaces_hides_nothing() {
    let stat = "7 (a) b) c) S 1 7 7 0 -1 4194304 100 0 0 0 31 11 0 0 20 0 1 0 5";
    assert_eq!(ticks(stat), Some(42));
    assert_eq!(ticks("7 (a) S 1"), None);
}
