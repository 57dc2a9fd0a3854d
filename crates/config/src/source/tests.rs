use super::*;

#[test]
fn columns_count_characters_with_either_line_ending() {
    let source = Source::new("a\r\nß√x\n\tq");
    assert_eq!(source.lines(), 3);
    assert_eq!(source.line_text(0), "a");
    assert_eq!(source.position(8), (2, 3));
    assert_eq!(source.position(11), (3, 2));
    assert_eq!(source.position(6), (2, 2), "inside a character");
    assert_eq!(source.position(99), (3, 3), "past the end");
}

#[test]
fn control_characters_are_shown_as_symbols() {
    assert_eq!(sanitize("a\x1b[31m\u{9b}\u{202e}\0\t\x7f"), "a␛[31m\u{fffd}\u{fffd}␀ ␡");
}

#[test]
fn long_line_is_truncated_around_the_span_and_keeps_its_columns() {
    let text = format!("{}X{}", "a".repeat(1000), "b".repeat(1000));
    let source = Source::new(&text);
    let mut extract = Extract::new("f");
    let requested_spans = extract.show(&source, &[1000..1001, 0..1]);
    assert_eq!(&extract.text[requested_spans[0].clone().unwrap()], "X");
    assert_eq!(requested_spans[1], None, "left out of the extract");
    assert!(extract.text.chars().count() < 170);
    assert_eq!(extract.column_number((), 0, requested_spans[0].clone().unwrap().start).unwrap(), 1001);
}
