//! `shaletide record export`: complete rows for other programs, with the bytes that their sums cover.

use super::args::Format;
use super::error::CommandError;
use super::time_zone::Zone;
use super::{list, text};
use serde_json::json;
use shaletide_record::{chain, Row};
use shaletide_store::{Query, StoreReader};
use std::io::Write;

const COLUMNS: &str = "seq,at_us,time,run,kind,request,tenant,class,key,key_hex,box,body,sum";

pub fn export(
    store: &dyn StoreReader, mut query: Query, format: Format, mut remaining: u64, zone: &Zone,
    out: &mut dyn Write,
) -> Result<(), CommandError> {
    if let Format::Csv = format {
        write!(out, "{COLUMNS}\r\n")?;
    }
    while remaining > 0 {
        let page = list::rows(store, &mut query, remaining)?;
        if page.is_empty() {
            break;
        }
        for row in &page {
            match format {
                Format::Jsonl => writeln!(out, "{}", json_line(row, zone))?,
                Format::Csv => write!(out, "{}\r\n", csv_line(row, zone))?,
            }
        }
        remaining -= page.len() as u64;
    }
    Ok(())
}

fn json_line(row: &Row, zone: &Zone) -> String {
    let id = row.key.as_ref();
    let mut line = json!({
        "seq": row.seq,
        "at_us": row.at.0,
        "time": zone.rfc3339(row.at),
        "run": row.run,
        "kind": row.kind,
        "request": row.request,
        "tenant": id.map(|id| &id.tenant),
        "class": id.map(|id| &id.class),
        "key": id.and_then(|id| std::str::from_utf8(&id.key).ok()),
        "key_hex": id.map(|id| chain::hex(&id.key)),
        "box": row.backend,
        "sum": chain::hex(&row.sum),
    });
    // As text too, as the sum covers exactly these bytes.
    let body = serde_json::from_str::<serde_json::Value>(&row.body).unwrap_or_default();
    line["body"] = body;
    line["body_text"] = row.body.clone().into();
    line.to_string()
}

fn csv_line(row: &Row, zone: &Zone) -> String {
    let id = row.key.as_ref();
    let fields = [
        row.seq.to_string(),
        row.at.0.to_string(),
        zone.rfc3339(row.at),
        row.run.to_string(),
        row.kind.clone(),
        row.request.map(|request| request.to_string()).unwrap_or_default(),
        id.map(|id| id.tenant.clone()).unwrap_or_default(),
        id.map(|id| id.class.clone()).unwrap_or_default(),
        // A key that a spreadsheet might take for a formula, or not show, is given only in hexadecimal digits.
        id.and_then(|id| text::plain(&id.key)).unwrap_or_default().to_string(),
        id.map(|id| chain::hex(&id.key)).unwrap_or_default(),
        row.backend.clone().unwrap_or_default(),
        row.body.clone(),
        chain::hex(&row.sum),
    ];
    fields.map(|field| quoted(&field)).join(",")
}

fn quoted(field: &str) -> String {
    match field.contains([',', '"', '\r', '\n', '\0']) {
        true => format!("\"{}\"", field.replace('"', "\"\"")),
        false => field.to_string(),
    }
}
