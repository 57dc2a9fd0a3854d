//! How a report looks, and what of the file reaches the terminal.

use shaletide_config::operator::{read, read_bytes, utf8};
use shaletide_config::{Report, SHOWN};

const PLANTED: &str = include_str!("planted/operator.toml");
const PRINTED: &str = include_str!("planted/report.txt");

fn report(text: &str) -> Report {
    read("f.toml", text).expect_err("it has mistakes")
}

/// `PRINT=1 cargo test -p shaletide-config --test report` writes what is printed now.
#[test]
fn fifteen_problems_are_reported_in_one_report() {
    let report = read("operator.toml", PLANTED).expect_err("it has mistakes");
    let printed = format!("{report}\n");
    if std::env::var_os("PRINT").is_some() {
        let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/planted/report.txt");
        std::fs::write(path, &printed).unwrap();
    }
    assert_eq!(printed, PRINTED);
    // Each line with a mistake says so itself.
    let lines = PLANTED.lines().enumerate();
    let planted: Vec<usize> = lines.filter(|(_, l)| l.contains("# MISTAKE")).map(|(n, _)| n + 1).collect();
    let found: Vec<usize> = report.problems().iter().map(|p| p.line).collect();
    assert_eq!((found, report.total()), (planted, 15));
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
    assert_eq!((report.problems().len(), report.total()), (SHOWN, 1003));
    assert!(report.to_string().contains("... and 803 more that are not shown"), "{report}");
    assert_eq!(report.problems()[SHOWN - 1].line, 1 + SHOWN - 3, "in the order of the lines");
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
        let other = read_bytes("f.toml", other.as_bytes()).expect_err("it has mistakes");
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
    // Two columns each for the wide ones: the mark is as wide as what it marks.
    assert_eq!(lines[3], "2 |     name = \"漢字é\"  # ü");
    assert!(lines[4].starts_with("  |            ^^^^^^^ expected a name"), "{}", lines[4]);
    let tabs = &report.problems()[4];
    assert_eq!((tabs.line, tabs.column), (4, 10));
    let lines: Vec<&str> = tabs.block.lines().collect();
    assert_eq!(lines[3].find('2').map(|_| lines[3].rfind('2')), Some(lines[4].find('^')), "{}", tabs.block);
}

#[test]
fn control_characters_are_not_printed() {
    let odd = "\u{1b}[31m\u{7}\u{9b}2J\u{202e}\u{200b}\u{feff}\u{2028}";
    let cases = [
        format!("[proxy]\nname = '{odd}'\n"),
        format!("[proxy]\n'{odd}' = 1\n"),
        format!("['{odd}']\n"),
        odd.to_string(),
        format!("[limits]\ntick = {odd}\n"),
        "[[class]]\nname = \"a\"\n[request]\notherwise = \"\\u001b[31m\"\n".to_string(),
        format!("# {odd}\n[goal]\nwhole = 2 # {odd}\n"),
    ];
    for text in cases {
        let report = read(&format!("f{odd}.toml"), &text).expect_err("it has mistakes");
        let printed = report.to_string();
        let bad = printed
            .chars()
            .find(|c| c.is_control() && *c != '\n' || "\u{202e}\u{200b}\u{feff}\u{2028}".contains(*c));
        assert_eq!(bad, None, "{printed:?}");
    }
}

#[test]
fn long_line_is_cut_around_the_problem() {
    let many = "\"127.0.0.1:1\", ".repeat(50_000);
    let text = format!("[[pool]]\nname = \"p\"\nboxes = [{many}\"x\"]\n");
    let report = read("f.toml", &text).expect_err("it has mistakes");
    let block = &report.problems().iter().find(|p| p.line == 3).unwrap().block;
    assert!(block.len() < 1_000, "{block}");
    let long = "a".repeat(100_000);
    let report = read("f.toml", &format!("[proxy]\nname = \"{long}\"\n")).expect_err("too long");
    assert!(report.to_string().len() < 3_000, "{report}");
}

#[test]
fn invalid_utf8_is_shown_with_its_position() {
    for (bytes, place) in [
        (&b"[proxy]\r\nname = \"a\xffb\"\r\n"[..], (2, 10)),
        (b"\xef\xbb\xbf[proxy]\nname = \"\xc3\"", (2, 9)),
        (b"\xff", (1, 1)),
        (b"\xef\xbb\xbf\xff\n", (1, 1)),
        (b"a\xe6\xbc", (1, 2)),
    ] {
        let report = read_bytes("f.toml", bytes).expect_err("no UTF-8");
        let problem = &report.problems()[0];
        assert_eq!((problem.line, problem.column, report.total()), (place.0, place.1, 1), "{report}");
        assert!(problem.what.contains("is not UTF-8"), "{report}");
    }
    assert!(utf8("f.toml", b"plain").is_ok());
}
