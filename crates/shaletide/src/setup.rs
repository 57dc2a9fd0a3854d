//! From a configuration to what the shells want: pure, so that a reload is decided before anything is touched.

use shaletide_balancer::{ClassId, DiscoveryMode, Micros, PoolId, TenantId};
use shaletide_config::operator::{
    self, ClassConfig, NodeConfigExtension, OperatorConfig, PoolSource, RecordMode, StaticBackend,
};
use shaletide_http::{ClassRule as FrontRule, RulesDef};
use shaletide_membership::{deduplication_group_hash, Endpoint, List, PoolSpec, Source};
use shaletide_net::{PoolSetup, UpstreamConfig};
use shaletide_record::{ClassRule, RecordConfig, WithoutKey};
use shaletide_routing::{ErrorResponses, Route};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// By a file that a person writes a mistyped port is likelier than an address that is held for a while.
const LISTEN_PATIENCE: Duration = Duration::from_secs(10);

/// All that the program runs by.
#[derive(Clone, Debug)]
pub struct Setup {
    pub operator: OperatorConfig,
    /// Names that are numbered first, in this order.
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// The first pool's list as it was before a restart.
    pub known: List,
    /// Advice to clients in seconds with decimals, as the platform has it.
    pub decimals: bool,
    /// Whoever ends the program waits for the longest deadline, though no longer than this; `None`: for any.
    pub longest_stop: Option<Micros>,
    /// What the agent of the first pool has counts as told before it is heard.
    pub strict: bool,
    /// What is kept on record, and where.
    pub record: Option<RecordSetup>,
    /// An address that is not to be had for now is waited for, for so long; `None`: for as long as it takes.
    pub listen_patience: Option<Duration>,
}

/// The store of record.
#[derive(Clone, Debug)]
pub struct RecordSetup {
    /// Its file.
    pub path: std::path::PathBuf,
    /// What is recorded and for how long.
    pub config: shaletide_record::RecordConfig,
    /// Of the file that says all this.
    pub digest: String,
}

impl Setup {
    /// By the operators' file alone, of which this is the digest.
    pub fn of_file(operator: OperatorConfig, digest: String) -> Setup {
        let (zones, kinds, known) = (Vec::new(), Vec::new(), List::default());
        let record = recorded(&operator, digest);
        Setup {
            operator,
            zones,
            kinds,
            known,
            decimals: false,
            longest_stop: None,
            strict: false,
            record,
            listen_patience: Some(LISTEN_PATIENCE),
        }
    }

    /// What a file adds to the platform's configuration.
    pub fn add(&mut self, more: NodeConfigExtension) {
        let operator = &mut self.operator;
        operator.limits.answer_stall = more.limits.answer_stall.or(operator.limits.answer_stall);
        operator.limits.head_timeout = more.limits.head_timeout;
        operator.limits.body_timeout = more.limits.body_timeout;
        operator.limits.body_rate = more.limits.body_rate;
        operator.limits.body_grace = more.limits.body_grace;
        operator.limits.held_bodies = more.limits.held_bodies;
        (operator.request_format.deduplication_group, operator.request_format.zone) =
            (more.deduplication_group, more.zone);
        operator.pools.extend(more.pools);
        operator.routes = more.routes;
    }

    /// How connections to backends are kept, so many at most.
    pub fn network(&self, most: usize) -> UpstreamConfig {
        let limits = &self.operator.limits;
        UpstreamConfig {
            connect_timeout: limits.connect_timeout,
            idle_timeout: limits.idle_timeout,
            answer_stall: limits.answer_stall,
            max_connections: most,
            max_body: limits.max_body,
        }
    }

    /// The pools, each with its module's configuration.
    pub fn pools(&self) -> Vec<PoolSetup> {
        let operator = &self.operator;
        let setup = |(number, def): (usize, &shaletide_config::operator::PoolConfig)| {
            let id = PoolId(number as u32);
            let mut config = operator.balancer.clone();
            config.has_failover_pool =
                operator.routes.iter().any(|r| r.pools.len() > 1 && r.pools.contains(&id));
            let source = match &def.source {
                PoolSource::Static(boxes) => {
                    config.discovery = DiscoveryMode::Push;
                    Source::Static(boxes.iter().map(endpoint).collect())
                }
                PoolSource::Discovery { mode, .. } => {
                    config.discovery = *mode;
                    Source::Discovered
                }
            };
            let repeats = (def.deduplication_domain != def.name).then(|| def.deduplication_domain.clone());
            // A pool may be named as the group of others: then it is of that group, too.
            let shared =
                operator.pools.iter().any(|p| p.name != def.name && p.deduplication_domain == def.name);
            let repeats = repeats.or(shared.then(|| def.name.clone()));
            PoolSetup { spec: PoolSpec { name: def.name.clone(), repeat_group: repeats, source }, config }
        };
        operator.pools.iter().enumerate().map(setup).collect()
    }

    /// The pools whose lists are told by a discovery: by index, where it is and how it tells.
    pub fn discoveries(&self) -> Vec<(usize, SocketAddr, DiscoveryMode)> {
        let each = self.operator.pools.iter().enumerate();
        let listed = each.filter_map(|(at, def)| match def.source {
            PoolSource::Discovery { address, mode } => Some((at, address, mode)),
            PoolSource::Static(_) => None,
        });
        listed.collect()
    }

    /// What requests are read and checked by; `ids` are the pools' numbers in their order.
    pub fn rules(&self, ids: &[PoolId]) -> RulesDef {
        let operator = &self.operator;
        let routes = operator.routes.iter().map(|route| {
            let pools = route.pools.iter().filter_map(|pool| ids.get(pool.0 as usize)).copied().collect();
            Route { pools, ..route.clone() }
        });
        let classes = operator.classes.iter().zip(&operator.balancer.classes).map(|(def, class)| FrontRule {
            name: def.name.clone(),
            effect: class.idempotency,
            methods: def.methods.iter().filter_map(|m| m.parse().ok()).collect(),
            deadline: def.deadline,
        });
        RulesDef {
            form: operator.request_format.clone(),
            classes: classes.collect(),
            tenants: operator.tenants.clone(),
            routes: routes.collect(),
            zone: operator.proxy.zone.clone(),
            max_retry_after: operator.limits.max_retry_after,
            whole_seconds: !self.decimals,
            head_timeout: operator.limits.head_timeout,
            body_timeout: operator.limits.body_timeout,
            body_rate: operator.limits.body_rate as u64,
            body_grace: operator.limits.body_grace,
            held_bodies: operator.limits.held_bodies,
            max_body: operator.limits.max_body,
            record: self.record.is_some(),
            longest_stop: self.longest_stop,
        }
    }

    /// What of `next` takes effect only at a restart; then `next` as it can be put in this one's place: classes and
    /// tenants that there are keep their numbers, whatever their order in the file.
    ///
    /// # Errors
    /// The changes that want a restart, each beginning with its key.
    pub fn follow(&self, mut next: Setup) -> Result<Setup, Vec<String>> {
        let changes = self.operator.needs_restart(&next.operator);
        if !changes.is_empty() {
            return Err(changes);
        }
        let old: Vec<&str> = self.operator.classes.iter().map(|c| c.name.as_str()).collect();
        let new: Vec<&str> = next.operator.classes.iter().map(|c| c.name.as_str()).collect();
        let classes = places(&old, &new);
        let old: Vec<&str> = self.operator.tenants.iter().map(String::as_str).collect();
        let new: Vec<&str> = next.operator.tenants.iter().map(String::as_str).collect();
        let tenants = places(&old, &new);
        let operator = &mut next.operator;
        reorder(&mut operator.classes, &classes);
        reorder(&mut operator.balancer.classes, &classes);
        reorder(&mut operator.tenants, &tenants);
        reorder(&mut operator.balancer.tenants, &tenants);
        let class = |id: ClassId| ClassId(classes.get(id.0).copied().unwrap_or(id.0));
        operator.request_format.default_class = operator.request_format.default_class.map(class);
        for route in &mut operator.routes {
            route.when.classes.iter_mut().for_each(|id| *id = class(*id));
            let tenant = |id: TenantId| TenantId(tenants.get(id.0).copied().unwrap_or(id.0));
            route.when.tenants.iter_mut().for_each(|id| *id = tenant(*id));
        }
        Ok(next)
    }

    /// The pools' names, for a line in the log.
    pub fn pool_names(&self) -> String {
        let names: Vec<&str> = self.operator.pools.iter().map(|p| p.name.as_str()).collect();
        names.join(", ")
    }
}

/// What the file says of the record.
fn recorded(operator: &OperatorConfig, digest: String) -> Option<RecordSetup> {
    let def = operator.record.as_ref()?;
    let rule = |class: &ClassConfig| match class.record {
        RecordMode::None => None,
        RecordMode::Facts => Some(ClassRule { requires_intent: false, without_key: WithoutKey::Record }),
        RecordMode::Intent { without_key: operator::WithoutKey::Reject } => {
            Some(ClassRule { requires_intent: true, without_key: WithoutKey::Refuse })
        }
        RecordMode::Intent { without_key: operator::WithoutKey::Record } => {
            Some(ClassRule { requires_intent: true, without_key: WithoutKey::Record })
        }
    };
    let classes = operator.classes.iter().filter_map(|c| Some((c.name.clone(), rule(c)?)));
    let config = RecordConfig {
        keep: def.retention,
        intent_timeout: def.intent_timeout,
        retry_after: def.retry_after,
        classes: classes.collect(),
        ..RecordConfig::default()
    };
    Some(RecordSetup { path: def.path.clone(), config, digest })
}

/// For each name of `new` its place: those of `old` in their order, then the others in theirs.
fn places(old: &[&str], new: &[&str]) -> Vec<usize> {
    let known: HashMap<&str, usize> = old.iter().enumerate().map(|(at, name)| (*name, at)).collect();
    let mut next = old.len();
    let place = |name: &&str| {
        known.get(name).copied().unwrap_or_else(|| {
            next += 1;
            next - 1
        })
    };
    new.iter().map(place).collect()
}

/// Puts each item in its place; the places are a permutation.
fn reorder<T>(items: &mut Vec<T>, places: &[usize]) {
    let mut placed: Vec<(usize, T)> = places.iter().copied().zip(items.drain(..)).collect();
    placed.sort_by_key(|(at, _)| *at);
    items.extend(placed.into_iter().map(|(_, item)| item));
}

fn endpoint(def: &StaticBackend) -> Endpoint {
    Endpoint {
        name: def.address.to_string(),
        address: def.address,
        zone: def.zone.clone(),
        server_type: def.server_type.clone(),
        deduplication_group: deduplication_group_hash(&def.deduplication_group),
        cores: def.cores,
        weight: 0,
        state: def.state,
        started_at: None,
    }
}

/// Whether a route passes errors on as they are, for `explain`.
pub fn errors_of(route: &Route) -> &'static str {
    match route.answers.error_responses {
        ErrorResponses::Forward => "as they are",
        ErrorResponses::Replace => "in own words",
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use shaletide_config::operator::read;

    fn setup(classes: &str, tenants: &str) -> Setup {
        let class = |name| format!("[[class]]\nname = \"{name}\"\n");
        let tenant = |name| format!("[[tenant]]\nname = \"{name}\"\nquota = 5.0\n");
        let text = format!(
            "[request]\notherwise = \"a\"\n[[listener]]\naddress = \"127.0.0.1:8080\"\n{}{}\
             [[pool]]\nname = \"p\"\nboxes = [\"127.0.0.1:1\"]\n[[pool]]\nname = \"q\"\nboxes = [\"127.0.0.1:2\"]\n\
             [[route]]\nname = \"r\"\nclass = \"b\"\ntenant = \"x\"\npools = [\"p\", \"q\"]\n\
             [[route]]\nname = \"s\"\npools = [\"q\"]\n",
            classes.split(' ').map(class).collect::<String>(),
            tenants.split(' ').map(tenant).collect::<String>(),
        );
        Setup::of_file(read("f", &text).unwrap_or_else(|report| panic!("{report}")), String::new())
    }

    #[test]
    fn classes_and_tenants_keep_their_numbers_in_whatever_order_a_new_file_has_them() {
        let old = setup("a b", "x y");
        let next = old.follow(setup("c b a", "z y x")).unwrap();
        let names: Vec<&str> = next.operator.classes.iter().map(|c| c.name.as_str()).collect();
        assert_eq!(names, ["a", "b", "c"]);
        assert_eq!(next.operator.tenants, ["x", "y", "z"]);
        assert_eq!(next.operator.request_format.default_class, Some(ClassId(0)));
        let when = &next.operator.routes[0].when;
        assert_eq!((&when.classes[..], &when.tenants[..]), (&[ClassId(1)][..], &[TenantId(0)][..]));
        let fewer = old.follow(setup("a b", "x")).unwrap_err();
        assert_eq!(fewer, ["tenant.name: y is gone"]);
    }

    #[test]
    fn only_pools_with_another_beside_them_may_be_left_whole() {
        let spare: Vec<bool> =
            setup("a b", "x y").pools().iter().map(|p| p.config.has_failover_pool).collect();
        assert_eq!(spare, [true, true]);
        let mut one = setup("a b", "x y");
        one.operator.routes.remove(0);
        let spare: Vec<bool> = one.pools().iter().map(|p| p.config.has_failover_pool).collect();
        assert_eq!(spare, [false, false]);
    }
}
