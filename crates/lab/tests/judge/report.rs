//! What a reader sees.

use crate::common::*;
use shaletide_lab::judge::expect::Metric;
use shaletide_lab::judge::{judge, Verdict};
use shaletide_lab::report::{html, text};
use shaletide_lab::samples::*;

/// A kill that costs two seconds of a third of requests, and a settle that runs twice.
fn verdict() -> Verdict {
    let mut samples = stream(30, 60, |second, nth| match (second, nth % 3) {
        (15 | 16, 0) => (TryEnd::Broken, 20),
        _ => calm(second, nth),
    });
    samples.push(fault("kill <zone a>", 15 * S, Touched { proxies: vec![0], ..Touched::default() }));
    for (at_us, what) in
        [(15 * S, ProcessEvent::Killed), (18 * S, ProcessEvent::Started), (19 * S, ProcessEvent::Ready)]
    {
        samples.push(Sample::Process { at_us, proxy: 0, what });
    }
    samples.push(run_of(301, 5 * S + 20_000, 20, TryEnd::Served));
    samples.push(Sample::Log { at_us: 5 * S, proxy: 1, line: "\u{1b}[31m<b>again</b>".into() });
    judge(&samples, &[expect(Metric::TimeToFullServiceS, 1.0, Some("kill <zone a>"))])
}

#[test]
fn the_text_tells_ruling_reasons_figures_and_how_to_repeat() {
    let text = text(&verdict());
    for told in [
        "FAILED",
        "unsafe_once broken 1 times: unsafe request 301 ran 2 times",
        "time_to_full_service_s not as expected: 2.0000",
        "F1  kill <zone a>",
        "66.67 at 15 s",
        "To repeat: shaletide-lab run by-hand.toml --seed 7",
    ] {
        assert!(text.contains(told), "{told} in {text}");
    }
    assert!(!text.contains('\u{1b}'), "a log line steers no terminal");
    let spans: Vec<&str> = text.lines().filter(|line| line.starts_with("  0      ")).collect();
    assert_eq!(spans, ["  0      down      15.0    18.0", "  0      starting  18.0    19.0"]);
}

/// The value of an attribute at its n-th place.
fn attributes<'a>(svg: &'a str, name: &str) -> Vec<&'a str> {
    let begin = format!("{name}=\"");
    svg.split(&begin[..]).skip(1).filter_map(|rest| rest.split('"').next()).collect()
}

#[test]
fn the_page_stands_alone_and_escapes_what_it_quotes() {
    let page = html(&verdict());
    assert_eq!(page.matches("<svg ").count(), page.matches("</svg>").count());
    assert_eq!(page.matches("<svg ").count(), 9, "a picture each");
    assert!(!page.contains("could not be drawn"));
    assert!(page.contains("kill &lt;zone a&gt;") && page.contains("&lt;b&gt;again&lt;/b&gt;"));
    for outside in ["<script", "<link", "src=", "@import", "<b>", "\u{1b}"] {
        assert!(!page.contains(outside), "{outside}");
    }
}

/// The picture of requests: the line of those served falls by a third in two of thirty seconds.
#[test]
fn a_dip_is_seen_in_the_line_of_those_served() {
    let page = html(&verdict());
    let picture = page.split("<svg ").nth(1).expect("the first");
    let lines: Vec<Vec<f64>> = attributes(picture, "points")
        .into_iter()
        .map(|points| points.split_whitespace().filter_map(|p| p.split(',').nth(1)?.parse().ok()).collect())
        .filter(|line: &Vec<f64>| line.len() == 30)
        .collect();
    assert_eq!(lines.len(), 4, "asked for, served, refused, lost otherwise");
    let low = |line: &Vec<f64>| {
        let most = line.iter().copied().fold(f64::INFINITY, f64::min);
        (0..30).filter(|s| line[*s] > most + 1.0).collect::<Vec<usize>>()
    };
    assert_eq!((low(&lines[0]), low(&lines[1])), (vec![], vec![15, 16]));
    assert!(picture.contains("F1"));
}

#[test]
fn a_void_run_without_anything_is_shown_too() {
    let verdict = judge(&[], &[]);
    assert!(text(&verdict).contains("VOID") && html(&verdict).contains("nothing tells what was run"));
}
