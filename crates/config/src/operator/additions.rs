//! The file that adds to NODE_CONFIG what the platform has no word for: pools, routes, answers and a few times.

use super::names::Index;
use super::text::checked;
use super::types::{AddedLimits, PoolDef};
use super::{basics, pools, request, routes};
use crate::diagnostic::Diagnostic;
use crate::diagnostics::Diagnostics;
use crate::document::File;
use crate::report::Report;
use shaletide_routing::{AttributeSource, ResponseRules, Route};
use toml::de::DeTable;

/// The pool of the backends that NODE_CONFIG's discovery tells of; its [`PoolId`](shaletide_balancer::PoolId) is 0.
pub const PLATFORM_POOL: &str = "platform";

/// The names that NODE_CONFIG gives, for the file to refer to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformNames {
    /// The classes in their order.
    pub classes: Vec<String>,
    /// The tenants in their order.
    pub tenants: Vec<String>,
}

/// What such a file adds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Additions {
    /// Times.
    pub limits: AddedLimits,
    /// Where the bay stands that a request is about.
    pub bay: Option<AttributeSource>,
    /// Where the zone stands that a request comes from; none: the proxy's own.
    pub zone: Option<AttributeSource>,
    /// Pools beside [`PLATFORM_POOL`], which is pool 0: the first of these is pool 1.
    pub pools: Vec<PoolDef>,
    /// The routes; at least one. Without any in the file: one that leads all to all pools, the platform's first.
    pub routes: Vec<Route>,
}

/// Reads a file that adds to NODE_CONFIG. Answers are read as on the platform where it does not say otherwise.
///
/// # Errors
///
/// All that is wrong with the text; among that each key that NODE_CONFIG has a word for.
pub fn read_additions(file_name: &str, text: &str, names: &PlatformNames) -> Result<Additions, Report> {
    checked(file_name, text, |diagnostics, tree| Some(additions(diagnostics, tree, names)))
}

fn additions(diagnostics: &mut Diagnostics<'_>, tree: &DeTable<'_>, names: &PlatformNames) -> Additions {
    let file = File::open_extension(diagnostics, tree);
    let (limits, request) = (file.table(diagnostics, "limits"), file.table(diagnostics, "request"));
    let mut taken = pools::Addresses::new(Vec::new());
    let (pools, added) = pools::pools(diagnostics, &file, &mut taken);
    for (number, _) in added.in_order().enumerate().filter(|(_, name)| *name == PLATFORM_POOL) {
        let what = "pool.name: the pool `platform` is there without being named";
        diagnostics.push(Diagnostic::at(added.place(number), what, "expected another name"));
    }
    let answers = file.table(diagnostics, "answers");
    let answers = request::answers(diagnostics, &answers, &ResponseRules::platform());
    let known = routes::Known {
        classes: &Index::given("class", names.classes.iter().cloned()),
        tenants: &Index::given("tenant", names.tenants.iter().cloned()),
        pools: &added.behind(PLATFORM_POOL),
        answers: &answers,
    };
    let routes = routes::routes(diagnostics, &file, &known);
    Additions {
        limits: basics::added_limits(diagnostics, &limits),
        bay: request::place(diagnostics, &request, "bay"),
        zone: request::place(diagnostics, &request, "zone"),
        pools,
        routes,
    }
}
