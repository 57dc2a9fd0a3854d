//! The operators' file as a whole.

use super::text::{checked, utf8};
use super::types::Operator;
use super::{basics, classes, pools, record, request, routes};
use crate::diagnostic::Diagnostic;
use crate::diagnostics::Diagnostics;
use crate::document::File;
use crate::report::Report;
use crate::section::Section;
use shaletide_routing::ResponseRules;
use toml::de::DeTable;

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
