//! Reads the file that extends `NODE_CONFIG` with settings that the platform does not have: pools, routes, response rules
//! and a few limits.

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

/// Name of the pool of backends from `NODE_CONFIG`'s discovery; its [`PoolId`](shaletide_balancer::PoolId) is 0.
pub const PLATFORM_POOL: &str = "platform";

/// The names from `NODE_CONFIG` that the file may refer to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformNames {
    /// The classes in order.
    pub classes: Vec<String>,
    /// The tenants in order.
    pub tenants: Vec<String>,
}

/// The configuration that such a file adds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeConfigExtension {
    /// Timeouts, and limits on bodies.
    pub limits: ExtensionLimits,
    /// Where a request carries its deduplication group.
    pub deduplication_group: Option<AttributeSource>,
    /// Where a request carries the zone it comes from; `None` for the proxy's own zone.
    pub zone: Option<AttributeSource>,
    /// Pools in addition to [`PLATFORM_POOL`], which is pool 0; the first of these is pool 1.
    pub pools: Vec<PoolConfig>,
    /// The routes; at least one. Without any in the file there is one that leads all requests to all pools, the platform's
    /// pool first.
    pub routes: Vec<Route>,
}

/// Reads a file that extends `NODE_CONFIG`. The platform's response rules apply unless the file has its own.
///
/// # Errors
///
/// Returns the report of all problems in the text, including each key that `NODE_CONFIG` sets.
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
        let message = "pool.name: the name `platform` is reserved for the pool of NODE_CONFIG";
        diagnostics.push(Diagnostic::at(pools.names.span(number), message, "expected another name"));
    }
    let responses = document.table(diagnostics, "answers");
    let responses = request::response_rules(diagnostics, &responses, &ResponseRules::platform());
    let context = RouteContext {
        classes: &NameIndex::of_names("class", names.classes.iter().cloned()),
        tenants: &NameIndex::of_names("tenant", names.tenants.iter().cloned()),
        pools: &pools.names.with_first(PLATFORM_POOL),
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
