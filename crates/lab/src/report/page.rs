//! A verdict as one HTML page: no script, nothing loaded.

use super::pictures::{self, Picture};
use super::tables::{self, Table};
use super::text::ruling;
use crate::judge::findings::By;
use crate::judge::{Ruling, Verdict};
use std::fmt::Write;

const STYLE: &str = "body{font:14px/1.45 sans-serif;margin:24px auto;max-width:1100px;color:#222}\
h1{margin:0}h2{margin:28px 0 6px;font-size:17px}table{border-collapse:collapse;font-size:12.5px}\
td,th{border-bottom:1px solid #ddd;padding:3px 9px 3px 0;text-align:left;vertical-align:top}\
.wide{overflow-x:auto}pre{background:#f5f5f5;padding:8px;overflow-x:auto;font-size:12px}\
.ruling{display:inline-block;padding:3px 12px;color:#fff;font-weight:bold}.passed{background:#007a50}\
.failed{background:#b3261e}.void{background:#666}svg{max-width:100%;height:auto}\
.key{display:inline-block;width:11px;height:11px;margin:0 4px 0 14px}p{margin:6px 0}";

/// The whole report as one page. Its size is bounded by the limits of a verdict: some megabytes for a run of hours.
pub fn html(verdict: &Verdict) -> String {
    let findings = &verdict.findings;
    let mut page = String::from("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    let name = escaped(&findings.name);
    let _ = write!(page, "<title>{name}, seed {}</title><style>{STYLE}</style></head><body>", findings.seed);
    let _ = write!(page, "<h1>{name}</h1><p>seed {}, {}</p>", findings.seed, escaped(&findings.build));
    summary(&mut page, verdict);
    all_pictures(&mut page, verdict);
    for table in tables::all(verdict) {
        write_table(&mut page, &table);
    }
    breaches(&mut page, verdict);
    if !findings.command.is_empty() {
        let _ = write!(page, "<h2>To repeat</h2><pre>{}</pre>", escaped(&findings.command));
    }
    page.push_str("</body></html>\n");
    page
}

fn summary(page: &mut String, verdict: &Verdict) {
    let kind = match verdict.ruling {
        Ruling::Passed => "passed",
        Ruling::Failed => "failed",
        Ruling::Void => "void",
    };
    let _ = write!(page, "<p class=\"ruling {kind}\">{}</p>", ruling(verdict));
    let why: Vec<&String> = verdict.void.iter().chain(&verdict.failed).collect();
    if !why.is_empty() {
        page.push_str("<ul>");
        for why in why {
            let _ = write!(page, "<li>{}</li>", escaped(why));
        }
        page.push_str("</ul>");
    }
}

fn all_pictures(page: &mut String, verdict: &Verdict) {
    let findings = &verdict.findings;
    if findings.seconds.is_empty() {
        return;
    }
    page.push_str("<p>Lines F1, F2, … are faults, in the table below; the shade lasts to full service.</p>");
    let has = |by| findings.groups.iter().filter(|group| group.by == by).count() > 1;
    picture(page, "Requests and what became of them", pictures::service(findings));
    picture(page, "Served by class", pictures::shares(findings, By::Class));
    if has(By::Zone) {
        picture(page, "Served by zone of the client", pictures::shares(findings, By::Zone));
    }
    if has(By::Tenant) {
        picture(page, "Served by tenant", pictures::shares(findings, By::Tenant));
    }
    picture(page, "Median latency by class", pictures::latencies(findings, "p50"));
    picture(page, "99th percentile by class", pictures::latencies(findings, "p99"));
    picture(page, "Connections begun at backends, calls of the list service", pictures::handshakes(findings));
    picture(page, "Connections open at backends", pictures::connections(findings));
    if !findings.timelines.is_empty() {
        picture(page, "Processes", pictures::timelines(findings));
    }
}

fn picture(page: &mut String, title: &str, picture: Picture) {
    let _ = write!(page, "<h2>{title}</h2>");
    let drawn = match picture {
        Ok(drawn) => drawn,
        Err(error) => {
            let _ = write!(page, "<p>could not be drawn: {}</p>", escaped(&error.to_string()));
            return;
        }
    };
    page.push_str("<p>");
    for (colour, name) in drawn.key {
        let (r, g, b) = (colour.0, colour.1, colour.2);
        let _ = write!(page, "<span class=\"key\" style=\"background:rgb({r},{g},{b})\"></span>");
        page.push_str(&escaped(&name));
    }
    let _ = write!(page, "</p>{}", drawn.svg);
}

fn write_table(page: &mut String, table: &Table) {
    let _ = write!(page, "<h2>{}</h2><div class=\"wide\"><table><tr>", table.title);
    for cell in &table.head {
        let _ = write!(page, "<th>{}</th>", escaped(cell));
    }
    page.push_str("</tr>");
    for row in &table.rows {
        page.push_str("<tr>");
        for cell in row {
            let _ = write!(page, "<td>{}</td>", escaped(cell));
        }
        page.push_str("</tr>");
    }
    page.push_str("</table></div>");
}

fn breaches(page: &mut String, verdict: &Verdict) {
    for check in verdict.findings.checks.iter().filter(|check| check.broken > 0) {
        let _ = write!(page, "<h2>{} broken {} times</h2>", escaped(check.name), check.broken);
        for breach in &check.breaches {
            let at = breach.at_us.map_or_else(|| "-".into(), tables::seconds);
            let proxy = breach.proxy.map_or_else(String::new, |proxy| format!(", proxy {proxy}"));
            let _ = write!(page, "<p>at {at} s{proxy}: {}</p>", escaped(&breach.what));
            if breach.log.is_empty() {
                continue;
            }
            page.push_str("<pre>");
            for line in &breach.log {
                let at = tables::seconds(line.at_us);
                let _ = writeln!(page, "{at} s proxy {}: {}", line.proxy, escaped(&line.line));
            }
            page.push_str("</pre>");
        }
    }
}

/// Escapes text for HTML.
fn escaped(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            c if c.is_control() => escaped.push(' '),
            c => escaped.push(c),
        }
    }
    escaped
}
