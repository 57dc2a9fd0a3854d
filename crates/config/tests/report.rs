//! The format of a report, and the removal of unsafe characters from it.

use shaletide_config::operator::{decode_utf8, read, read_bytes};
use shaletide_config::{Report, MAX_SHOWN_PROBLEMS};

const INVALID_FILE: &str = include_str!("planted/operator.toml");
const EXPECTED_REPORT: &str = include_str!("planted/report.txt");

fn report(text: &str) -> Report {
    read("f.toml", text).expect_err("the text has problems")
}

/// `PRINT=1 cargo test -p shaletide-config --test report` updates the expected report.
#[test]
fn fifteen_problems_are_reported_in_one_report() {
    let report = read("operator.toml", INVALID_FILE).expect_err("the text has problems");
    let printed = format!("{report}\n");
    if std::env::var_os("PRINT").is_some() {
        let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/planted/report.txt");
        std::fs::write(path, &printed).unwrap();
    }
    assert_eq!(printed, EXPECTED_REPORT);
    // Each line with a problem is marked by a comment.
    let lines = INVALID_FILE.lines().enumerate();
    let marked: Vec<usize> = lines.filter(|(_, l)| l.contains("# MISTAKE")).map(|(n, _)| n + 1).collect();
    let found: Vec<usize> = report.problems().iter().map(|p| p.line).collect();
    assert_eq!((found, report.total()), (marked, 15));
}

#[test]
fn problems_are_sorted_by_line_and_counted() {
    let text = "[goal]\nwhole = 2\nworst_class = 2\n[proxy]\nposition = 1\n[limits]\ncancel = 1\n";
    let report = report(text);
    let lines: Vec<usize> = report.problems().iter().map(|p| p.line).collect();
    assert!(lines.is_sorted(), "{lines:?}");
    assert!(report.to_string().ends_with("\n\nf.toml: 7 problems"), "{report}");
}

#[test]
fn first_problems_are_shown_and_the_rest_counted() {
    let keys: String = (0..1000).map(|n| format!("unknown_{n} = 1\n")).collect();
    let report = report(&format!("[limits]\n{keys}"));
    assert_eq!((report.problems().len(), report.total()), (MAX_SHOWN_PROBLEMS, 1003));
    assert!(report.to_string().contains("... and 803 more that are not shown"), "{report}");
    assert_eq!(report.problems()[MAX_SHOWN_PROBLEMS - 1].line, 1 + MAX_SHOWN_PROBLEMS - 3, "sorted by line");
}

#[test]
fn windows_line_ends_and_byte_order_mark_keep_positions() {
    let text = "[goal]\nwhole = 2\n\n[limits]\ncancel = 3\n";
    let plain = report(text);
    for other in [
        text.replace('\n', "\r\n"),
        format!("\u{feff}{text}"),
        format!("\u{feff}{}", text.replace('\n', "\r\n")),
    ] {
        let other = read_bytes("f.toml", other.as_bytes()).expect_err("the text has problems");
        assert_eq!(other, plain);
        assert!(!other.to_string().contains('\r'));
    }
}

#[test]
fn marks_align_under_tabs_and_wide_characters() {
    let report = report("[proxy]\n\tname = \"漢字é\"\t# ü\n[goal]\n\twhole\t=\t2\n");
    let wide = &report.problems()[3];
    assert_eq!((wide.line, wide.column), (2, 9));
    let lines: Vec<&str> = wide.block.lines().collect();
    // Wide characters take two columns: the mark is as wide as the text that it marks.
    assert_eq!(lines[3], "2 |     name = \"漢字é\"  # ü");
    assert!(lines[4].starts_with("  |            ^^^^^^^ expected a name"), "{}", lines[4]);
    let tabs = &report.problems()[4];
    assert_eq!((tabs.line, tabs.column), (4, 10));
    let lines: Vec<&str> = tabs.block.lines().collect();
    assert_eq!(lines[3].find('2').map(|_| lines[3].rfind('2')), Some(lines[4].find('^')), "{}", tabs.block);
}

#[test]
fn control_characters_are_not_printed() {
    let control_characters = "\u{1b}[31m\u{7}\u{9b}2J\u{202e}\u{200b}\u{feff}\u{2028}";
    let cases = [
        format!("[proxy]\nname = '{control_characters}'\n"),
        format!("[proxy]\n'{control_characters}' = 1\n"),
        format!("['{control_characters}']\n"),
        control_characters.to_string(),
        format!("[limits]\ntick = {control_characters}\n"),
        "[[class]]\nname = \"a\"\n[request]\notherwise = \"\\u001b[31m\"\n".to_string(),
        format!("# {control_characters}\n[goal]\nwhole = 2 # {control_characters}\n"),
    ];
    for text in cases {
        let report = read(&format!("f{control_characters}.toml"), &text).expect_err("the text has problems");
        let printed = report.to_string();
        let unsafe_character = printed
            .chars()
            .find(|c| c.is_control() && *c != '\n' || "\u{202e}\u{200b}\u{feff}\u{2028}".contains(*c));
        assert_eq!(unsafe_character, None, "{printed:?}");
    }
}

#[test]
fn long_line_is_cut_around_the_problem() {
    let many = "\"127.0.0.1:1\", ".repeat(50_000);
    let text = format!("[[pool]]\nname = \"p\"\nboxes = [{many}\"x\"]\n");
    let report = read("f.toml", &text).expect_err("the text has problems");
    let block = &report.problems().iter().find(|p| p.line == 3).unwrap().block;
    assert!(block.len() < 1_000, "{block}");
    let long = "a".repeat(100_000);
    let report = read("f.toml", &format!("[proxy]\nname = \"{long}\"\n")).expect_err("too long");
    assert!(report.to_string().len() < 3_000, "{report}");
}

#[test]
fn invalid_utf8_is_shown_with_its_position() {
    for (bytes, position) in [
        (&b"[proxy]\r\nname = \"a\xffb\"\r\n"[..], (2, 10)),
        (b"\xef\xbb\xbf[proxy]\nname = \"\xc3\"", (2, 9)),
        (b"\xff", (1, 1)),
        (b"\xef\xbb\xbf\xff\n", (1, 1)),
        (b"a\xe6\xbc", (1, 2)),
    ] {
        let report = read_bytes("f.toml", bytes).expect_err("not UTF-8");
        let problem = &report.problems()[0];
        assert_eq!((problem.line, problem.column, report.total()), (position.0, position.1, 1), "{report}");
        assert!(problem.summary.contains("is not UTF-8"), "{report}");
    }
    assert!(decode_utf8("f.toml", b"plain").is_ok());
}
