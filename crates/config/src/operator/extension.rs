//! The file that adds to `NODE_CONFIG` what the platform has no setting for: pools, routes, response rules and a few
//! limits.

use super::names::NameIndex;
use super::pools::{self, UsedAddresses};
use super::routes::{self, RouteContext};
use super::text::checked;
use super::types::{ExtensionLimits, PoolConfig};
use super::{basics, request};
use crate::diagnostic::Diagnostic;
use crate::diagnostics::Diagnostics;
use crate::document::Document;
use crate::report::Report;
use shaletide_routing::{AttributeSource, ResponseRules, Route};
use toml::de::DeTable;

/// The pool of the backends that `NODE_CONFIG`'s discovery knows; its [`PoolId`](shaletide_balancer::PoolId) is 0.
pub const PLATFORM_POOL: &str = "platform";

/// The names that `NODE_CONFIG` gives, for the file to refer to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformNames {
    /// The classes in their order.
    pub classes: Vec<String>,
    /// The tenants in their order.
    pub tenants: Vec<String>,
}

/// What such a file adds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeConfigExtension {
    /// Timeouts, and limits on bodies.
    pub limits: ExtensionLimits,
    /// Where in a request its deduplication group stands.
    pub deduplication_group: Option<AttributeSource>,
    /// Where the zone stands that a request comes from; none: the proxy's own.
    pub zone: Option<AttributeSource>,
    /// Pools beside [`PLATFORM_POOL`], which is pool 0: the first of these is pool 1.
    pub pools: Vec<PoolConfig>,
    /// The routes; at least one. Without any in the file: one that leads all to all pools, the platform's first.
    pub routes: Vec<Route>,
}

/// Reads a file that adds to `NODE_CONFIG`. Responses are read as on the platform where it does not say otherwise.
///
/// # Errors
///
/// All that is wrong with the text; among that each key that `NODE_CONFIG` has a name for.
pub fn read_extension(
    file_name: &str, text: &str, names: &PlatformNames,
) -> Result<NodeConfigExtension, Report> {
    checked(file_name, text, |diagnostics, tree| Some(read_document(diagnostics, tree, names)))
}

fn read_document(
    diagnostics: &mut Diagnostics<'_>, tree: &DeTable<'_>, names: &PlatformNames,
) -> NodeConfigExtension {
    let document = Document::open_extension(diagnostics, tree);
    let limits = document.table(diagnostics, "limits");
    let request = document.table(diagnostics, "request");
    let mut addresses = UsedAddresses::new(Vec::new());
    let pools = pools::pools(diagnostics, &document, &mut addresses);
    for (number, _) in pools.names.in_order().enumerate().filter(|(_, name)| *name == PLATFORM_POOL) {
        let message = "pool.name: the pool `platform` is there without being named";
        diagnostics.push(Diagnostic::at(pools.names.span(number), message, "expected another name"));
    }
    let responses = document.table(diagnostics, "answers");
    let responses = request::response_rules(diagnostics, &responses, &ResponseRules::platform());
    let context = RouteContext {
        classes: &NameIndex::of_names("class", names.classes.iter().cloned()),
        tenants: &NameIndex::of_names("tenant", names.tenants.iter().cloned()),
        pools: &pools.names.behind(PLATFORM_POOL),
        responses: &responses,
    };
    let routes = routes::routes(diagnostics, &document, &context);
    NodeConfigExtension {
        limits: basics::extension_limits(diagnostics, &limits),
        deduplication_group: request::attribute_source(diagnostics, &request, "bay"),
        zone: request::attribute_source(diagnostics, &request, "zone"),
        pools: pools.configs,
        routes,
    }
}
