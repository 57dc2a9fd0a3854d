//! Pictures of a run, as SVG. Each is a function from findings to the text of one picture.

use super::tables::{mark, state_name};
use crate::judge::findings::{By, FaultFound, Findings, Group};
use crate::judge::process_state::{ProcessState, ProcessTimeline};
use crate::judge::recovery::Full;
use crate::judge::service::Second;
use plotters::coord::ranged1d::{Ranged, ValueFormatter};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;

/// Width of all pictures, pixels.
const WIDTH: u32 = 1_080;
/// Height of pictures with axes, pixels.
const HEIGHT: u32 = 260;
/// Height of the band of a process.
const BAND: u32 = 14;
/// Lines in one picture; more cannot be distinguished.
const MAX_LINES: usize = 7;
/// Colours that are distinct for colour-blind readers too.
const COLOURS: [RGBColor; MAX_LINES] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(40, 40, 40),
];
/// Font size in pictures.
const WORDS: (&str, u32) = ("sans-serif", 12);

/// A drawn picture.
pub(super) struct Drawn {
    pub svg: String,
    /// The legend.
    pub key: Vec<(RGBColor, String)>,
}

/// A picture, or why there is none.
pub(super) type Picture = Result<Drawn, Box<dyn Error>>;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A line of a picture: its name, and a value for each second that has one.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

impl Line {
    fn of(name: impl Into<String>, values: impl Iterator<Item = Option<f64>>) -> Line {
        let points = values.enumerate().filter_map(|(s, value)| Some((s as f64 + 0.5, value?)));
        Line { name: name.into(), points: points.collect() }
    }

    fn most(&self) -> f64 {
        self.points.iter().map(|point| point.1).fold(0.0, f64::max)
    }
}

/// Requests and their outcomes.
pub(super) fn service(findings: &Findings) -> Picture {
    let of = |name: &str, count: fn(&Second) -> u64| {
        Line::of(name, findings.seconds.iter().map(|second| Some(count(second) as f64)))
    };
    let lines = [
        of("asked for", |s| s.counts.requests),
        of("served", |s| s.counts.served),
        of("refused", |s| s.counts.refused),
        of("lost otherwise", |s| s.counts.requests - s.counts.served - s.counts.refused),
    ];
    from_zero(findings, "requests a second", &lines)
}

/// The share served, by class, zone or tenant.
pub(super) fn shares(findings: &Findings, by: By) -> Picture {
    let lines: Vec<Line> = groups(findings, by)
        .map(|g| Line::of(&g.name, g.seconds.iter().map(|s| s.counts.share().map(|share| share * 100.0))))
        .collect();
    let least = lines.iter().flat_map(|line| &line.points).map(|point| point.1).fold(100.0, f64::min);
    let bottom = (least - 2.0).max(0.0);
    draw(findings, "served, %", bottom..100.5, &lines)
}

fn groups(findings: &Findings, by: By) -> impl Iterator<Item = &Group> {
    findings.groups.iter().filter(move |group| group.by == by).take(MAX_LINES)
}

/// Latency of served requests by class, on a logarithmic axis, as tails are many times the median.
pub(super) fn latencies(findings: &Findings, share: &str) -> Picture {
    let us = |second: &Second| if share == "p50" { second.p50_us } else { second.p99_us };
    let lines: Vec<Line> = groups(findings, By::Class)
        .map(|g| Line::of(&g.name, g.seconds.iter().map(|s| us(s).map(|us| (us as f64 / 1e3).max(1.0)))))
        .collect();
    let points = || lines.iter().flat_map(|line| &line.points).map(|point| point.1);
    let least = points().fold(f64::INFINITY, f64::min).min(1e6);
    let most = points().fold(0.0, f64::max).max(least);
    // Integer powers of ten, as the axis has few labels between others.
    let power = |value: f64, round: fn(f64) -> f64| 10_f64.powf(round(value.log10()));
    let (bottom, top) = (power(least, f64::floor), power(most * 1.01, f64::ceil));
    draw(findings, &format!("{share}, ms"), (bottom..top).log_scale(), &lines)
}

/// Connections opened, and calls of the list service.
pub(super) fn handshakes(findings: &Findings) -> Picture {
    let seconds = || findings.backend_seconds.iter();
    let lines = [
        Line::of("handshakes at all backends", seconds().map(|s| Some(s.handshakes as f64))),
        Line::of("at the backend with most", seconds().map(|s| Some(f64::from(s.most_handshakes)))),
        Line::of("calls of the list service", seconds().map(|s| Some(s.list_calls as f64))),
    ];
    from_zero(findings, "a second", &lines)
}

/// Connections open at backends.
pub(super) fn connections(findings: &Findings) -> Picture {
    let open = findings.backend_seconds.iter().map(|s| Some(s.open as f64));
    from_zero(findings, "connections", &[Line::of("open at all backends", open)])
}

fn from_zero(findings: &Findings, what: &str, lines: &[Line]) -> Picture {
    let most = lines.iter().map(Line::most).fold(1.0, f64::max);
    draw(findings, what, 0.0..most * 1.1, lines)
}

/// Lines over the seconds of the run, with its faults marked.
fn draw<Y>(findings: &Findings, what: &str, y: Y, lines: &[Line]) -> Picture
where
    Y: plotters::coord::ranged1d::AsRangedCoord<Value = f64>,
    Y::CoordDescType: Ranged<ValueType = f64> + ValueFormatter<f64>,
{
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, HEIGHT)).into_drawing_area();
        let end = findings.seconds.len().max(1) as f64;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .margin_top(18)
            .x_label_area_size(24)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..end, y)?;
        chart
            .configure_mesh()
            .label_style(WORDS)
            .axis_desc_style(WORDS)
            .light_line_style(TRANSPARENT)
            .bold_line_style(RGBColor(225, 225, 225))
            .x_label_formatter(&|s| format!("{s:.0} s"))
            .y_label_formatter(&|value| format!("{value:.0}"))
            .y_desc(what)
            .draw()?;
        for (line, colour) in lines.iter().take(MAX_LINES).zip(COLOURS) {
            chart.draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)))?;
        }
        let plot = chart.plotting_area().get_pixel_range();
        mark_faults(&area, &findings.faults, end, plot)?;
        area.present()?;
    }
    Ok(Drawn { svg, key: COLOURS.into_iter().zip(lines.iter().map(|line| line.name.clone())).collect() })
}

type Pixels = (std::ops::Range<i32>, std::ops::Range<i32>);

/// A line at the start of each fault, and a shade from there to full service.
fn mark_faults(area: &Area<'_>, faults: &[FaultFound], end: f64, plot: Pixels) -> Result<(), Box<dyn Error>> {
    let (across, down) = plot;
    let place = |at_us: u64| {
        let part = (at_us as f64 / 1e6 / end).clamp(0.0, 1.0);
        across.start + (part * f64::from(across.end - across.start)) as i32
    };
    for (n, fault) in faults.iter().enumerate() {
        let until_us = match fault.recovery.full {
            Full::After { us } => fault.at_us + us,
            Full::NotKnown { since_us, .. } => fault.at_us + since_us,
            Full::NotReached { watched_us } => fault.at_us + watched_us,
            Full::NoBefore => fault.at_us,
        };
        let (from, to) = (place(fault.at_us), place(until_us));
        let shade = RGBColor(200, 0, 0).mix(0.08).filled();
        area.draw(&Rectangle::new([(from, down.start), (to, down.end)], shade))?;
        area.draw(&PathElement::new([(from, down.start), (from, down.end)], RGBColor(170, 0, 0)))?;
        area.draw(&Text::new(mark(n), (from + 2, down.start - 13), WORDS))?;
    }
    Ok(())
}

/// The colour of a process's state.
fn colour(state: ProcessState) -> RGBColor {
    match state {
        ProcessState::Up => RGBColor(0, 158, 115),
        ProcessState::Starting => RGBColor(240, 228, 66),
        ProcessState::Ending => RGBColor(230, 159, 0),
        ProcessState::Frozen => RGBColor(86, 180, 233),
        ProcessState::Down => RGBColor(90, 90, 90),
    }
}

/// A timeline for each process, with its states.
pub(super) fn timelines(findings: &Findings) -> Picture {
    let mut svg = String::new();
    {
        let height = BAND * findings.timelines.len() as u32 + 40;
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        let end = findings.seconds.len().max(1) as f64;
        let across = 64..(WIDTH - 8) as i32;
        for (n, timeline) in findings.timelines.iter().enumerate() {
            draw_timeline(&area, n, timeline, end, across.clone())?;
        }
        let down = 18..height as i32 - 20;
        mark_faults(&area, &findings.faults, end, (across, down))?;
        area.present()?;
    }
    let kinds = [
        ProcessState::Up,
        ProcessState::Starting,
        ProcessState::Ending,
        ProcessState::Frozen,
        ProcessState::Down,
    ];
    Ok(Drawn { svg, key: kinds.map(|kind| (colour(kind), state_name(kind).to_owned())).into() })
}

fn draw_timeline(
    area: &Area<'_>, n: usize, timeline: &ProcessTimeline, end: f64, across: std::ops::Range<i32>,
) -> Result<(), Box<dyn Error>> {
    let top = 20 + (n as u32 * BAND) as i32;
    let place = |at_us: u64| {
        let part = (at_us as f64 / 1e6 / end).min(1.0);
        across.start + (part * f64::from(across.end - across.start)) as i32
    };
    area.draw(&Text::new(format!("proxy {}", timeline.proxy), (4, top), WORDS))?;
    for span in &timeline.spans {
        let (from, to) = (place(span.from_us), place(span.to_us));
        let corners = [(from, top), (to.max(from + 1), top + BAND as i32 - 3)];
        area.draw(&Rectangle::new(corners, colour(span.state).filled()))?;
    }
    Ok(())
}
