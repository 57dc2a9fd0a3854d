//! Reads the whole operators' file.

use super::basics::{self, BalancerSections};
use super::pools::{self, UsedAddresses};
use super::routes::{self, RouteContext};
use super::text::{checked, decode_utf8};
use super::types::OperatorConfig;
use super::{classes, record, request};
use crate::diagnostic::Diagnostic;
use crate::diagnostics::Diagnostics;
use crate::document::Document;
use crate::report::Report;
use shaletide_balancer::Config;
use shaletide_routing::ResponseRules;
use toml::de::DeTable;

/// Reads the operators' file. `file_name` is used in messages only; the file is not opened.
///
/// # Errors
///
/// Returns the report of all problems in the text.
pub fn read(file_name: &str, text: &str) -> Result<OperatorConfig, Report> {
    checked(file_name, text, read_document)
}

/// Reads the operators' file from its raw bytes.
///
/// # Errors
///
/// Fails if the bytes are not UTF-8, and for the same reasons as [`read`].
pub fn read_bytes(file_name: &str, bytes: &[u8]) -> Result<OperatorConfig, Report> {
    read(file_name, decode_utf8(file_name, bytes)?)
}

fn read_document(diagnostics: &mut Diagnostics<'_>, tree: &DeTable<'_>) -> Option<OperatorConfig> {
    if tree.is_empty() && diagnostics.is_empty() {
        let expected = "expected at least one [[listener]], one [[class]] and one [[pool]]";
        diagnostics.push(Diagnostic::for_file("the file is empty", expected));
        return None;
    }
    let document = Document::open(diagnostics, tree);
    let limits = document.table(diagnostics, "limits");
    let rules = document.table(diagnostics, "rules");
    let proxy = document.table(diagnostics, "proxy");
    let proxy = basics::proxy(diagnostics, &proxy);
    let listeners = basics::listeners(diagnostics, &document);
    let record = record::record(diagnostics, &document);
    let classes = classes::classes(diagnostics, &document, &record);
    let tenants = classes::tenants(diagnostics, &document);
    let request = document.table(diagnostics, "request");
    let request_format = request::request_format(diagnostics, &request, &classes.names);
    let mut addresses = UsedAddresses::new(listeners.clone());
    let pools = pools::pools(diagnostics, &document, &mut addresses);
    let responses = document.table(diagnostics, "answers");
    let responses = request::response_rules(diagnostics, &responses, &ResponseRules::operator_default());
    let context = RouteContext {
        classes: &classes.names,
        tenants: &tenants.names,
        pools: &pools.names,
        responses: &responses,
    };
    let routes = routes::routes(diagnostics, &document, &context);
    let goal = document.table(diagnostics, "goal");
    let sections = BalancerSections { proxy: &proxy, limits: &limits, rules: &rules, goal: &goal };
    let balancer =
        basics::balancer_config(diagnostics, &sections, classes.balancer_classes, tenants.balancer_tenants);
    let limits = basics::limits(diagnostics, &limits, &rules);
    check_balancer_config(diagnostics, &balancer);
    Some(OperatorConfig {
        proxy,
        listeners: listeners.into_iter().map(|(address, _)| address).collect(),
        limits,
        balancer,
        classes: classes.configs,
        tenants: tenants.names.in_order().map(String::from).collect(),
        request_format,
        pools: pools.configs,
        routes,
        record: record.store,
        control: record::control(diagnostics, &document),
    })
}

/// Rejects the file if the balancer rejects its configuration. The ranges of the schema lie within those of the balancer,
/// so this check is not expected to fail.
fn check_balancer_config(diagnostics: &mut Diagnostics<'_>, config: &Config) {
    if !diagnostics.is_empty() {
        return;
    }
    if let Err(error) = config.validate() {
        let message = format!("the balancer rejects {}", error.field);
        diagnostics.push(Diagnostic::for_file(message, error.to_string()));
    }
}
