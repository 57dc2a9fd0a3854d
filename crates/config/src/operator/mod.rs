//! The operators' file: raw text in; all that is wrong with it, or typed values that cannot be wrong, out.
//! No files and no clock: the caller brings the text and its name.

mod additions;
mod basics;
mod classes;
mod names;
mod pools;
mod record;
mod reload;
mod request;
mod routes;
mod types;

pub use additions::{read_additions, AddedLimits, Additions, PlatformNames, PLATFORM_POOL};
pub use types::*;

use crate::diagnostic::Diagnostic;
use crate::diagnostics::Diagnostics;
use crate::report::Report;
use crate::section::{File, Section};
use crate::source::Source as Text;
use crate::syntax;
use shaletide_routing::ResponseRules;
use toml::de::DeTable;

/// A file may be so long, in bytes.
pub const MAX_FILE: usize = 4 << 20;

/// Reads the operators' file. `file_name` stands in the messages and is not opened.
///
/// # Errors
///
/// All that is wrong with the text, in the order of its lines.
pub fn read(file_name: &str, text: &str) -> Result<Operator, Report> {
    checked(file_name, text, whole)
}

/// Reads the operators' file as it came from the disk.
///
/// # Errors
///
/// Bytes that are not UTF-8; else as [`read`].
pub fn read_bytes(file_name: &str, bytes: &[u8]) -> Result<Operator, Report> {
    read(file_name, utf8(file_name, bytes)?)
}

/// The text of a file.
///
/// # Errors
///
/// A file that is too long, and bytes that are not UTF-8.
pub fn utf8<'b>(file_name: &str, bytes: &'b [u8]) -> Result<&'b str, Report> {
    bounded(file_name, bytes.len())?;
    std::str::from_utf8(bytes).map_err(|e| {
        // The good part and a stand-in for the byte: that is enough to show the line.
        let (good, bad) = bytes.split_at(e.valid_up_to());
        let good = std::str::from_utf8(good).unwrap_or_default();
        let after: String = String::from_utf8_lossy(&bad[..bad.len().min(200)]).into_owned();
        let text = format!("{good}{}", after.lines().next().unwrap_or_default());
        let skip = text.len() - text.strip_prefix('\u{feff}').unwrap_or(&text).len();
        let source = Text::new(&text[skip..]);
        let at =
            (good.len() - skip.min(good.len()))..(good.len() - skip.min(good.len()) + '\u{fffd}'.len_utf8());
        let byte = bad.first().copied().unwrap_or_default();
        let what = format!("the byte 0x{byte:02x} is not UTF-8");
        Report::new(file_name, &source, vec![Diagnostic::at(at, what, "expected a text file in UTF-8")], 0)
    })
}

fn bounded(file_name: &str, length: usize) -> Result<(), Report> {
    if length <= MAX_FILE {
        return Ok(());
    }
    let diagnostic =
        Diagnostic::for_file("the file is too long", format!("expected at most {} MiB", MAX_FILE >> 20));
    Err(Report::new(file_name, &Text::new(""), vec![diagnostic], 0))
}

/// What every reading shares: the bound, the tree, and that values come out only where nothing is wrong.
fn checked<T>(
    file_name: &str, text: &str, read: impl FnOnce(&mut Diagnostics<'_>, &DeTable<'_>) -> Option<T>,
) -> Result<T, Report> {
    bounded(file_name, text.len())?;
    let source = Text::new(text.strip_prefix('\u{feff}').unwrap_or(text));
    let mut diagnostics = Diagnostics::new(&source);
    let mended = syntax::mend(&mut diagnostics);
    let tree = mended.as_deref().and_then(|text| syntax::parse(&mut diagnostics, text));
    let values = tree.and_then(|tree| read(&mut diagnostics, tree.get_ref()));
    diagnostics.into_report(file_name)?;
    // Without a tree something lies on the desk.
    values.ok_or_else(|| {
        Report::new(file_name, &source, vec![Diagnostic::for_file("not read", "expected TOML")], 0)
    })
}

fn whole(diagnostics: &mut Diagnostics<'_>, tree: &DeTable<'_>) -> Option<Operator> {
    if tree.is_empty() && diagnostics.is_empty() {
        let expected = "expected at least one [[listener]], one [[class]] and one [[pool]]";
        diagnostics.push(Diagnostic::for_file("the file is empty", expected));
        return None;
    }
    let file = File::open(diagnostics, tree);
    let (limits, rules) = (file.table(diagnostics, "limits"), file.table(diagnostics, "rules"));
    let proxy = file.table(diagnostics, "proxy");
    let proxy = basics::proxy(diagnostics, &proxy);
    let listeners = basics::listeners(diagnostics, &file);
    let record = record::record(diagnostics, &file);
    let classes = classes::classes(diagnostics, &file, &record);
    let (tenants, tenant_names) = classes::tenants(diagnostics, &file);
    let request = file.table(diagnostics, "request");
    let form = request::form(diagnostics, &request, &classes.names);
    let mut taken = pools::Addresses::new(listeners.clone());
    let (pools, pool_names) = pools::pools(diagnostics, &file, &mut taken);
    let answers: Section<'_, '_> = file.table(diagnostics, "answers");
    let answers = request::answers(diagnostics, &answers, &ResponseRules::plain());
    let known = routes::Known {
        classes: &classes.names,
        tenants: &tenant_names,
        pools: &pool_names,
        answers: &answers,
    };
    let routes = routes::routes(diagnostics, &file, &known);
    let config = basics::config(diagnostics, &file, &proxy, &limits, &rules, classes.rules, tenants);
    let limits = basics::limits(diagnostics, &limits, &rules);
    agrees(diagnostics, &config);
    Some(Operator {
        proxy,
        listeners: listeners.into_iter().map(|(address, _)| address).collect(),
        limits,
        config,
        classes: classes.defs,
        tenants: tenant_names.in_order().map(String::from).collect(),
        form,
        pools,
        routes,
        record: record.def,
        control: record::control(diagnostics, &file),
    })
}

/// The decision module has the last word on its configuration. The schema's ranges lie within its own, so that
/// this finds nothing; should it, better a message that points nowhere than a file that is half taken.
fn agrees(diagnostics: &mut Diagnostics<'_>, config: &shaletide_balancer::Config) {
    if let (true, Err(e)) = (diagnostics.is_empty(), config.validate()) {
        diagnostics
            .push(Diagnostic::for_file(format!("the decision module refuses {}", e.field), e.to_string()));
    }
}
