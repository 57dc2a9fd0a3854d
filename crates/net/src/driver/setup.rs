//! Pools and connection settings, at the start and at a reload.

use super::attempts::UpstreamConfig;
use super::{Driver, State};
use shaletide_balancer::{Config, ConfigError};
use shaletide_engine::Event;
use shaletide_membership::{DirectoryUpdate, PoolSpec};
use shaletide_types::PoolId;
use std::collections::HashSet;
use std::rc::Rc;

/// A pool as it is configured.
#[derive(Clone, Debug)]
pub struct PoolSetup {
    /// Its name, and where its endpoint list comes from.
    pub spec: PoolSpec,
    /// Its balancer's configuration. [`Driver::setup`] sets the zone and the deduplication domain.
    pub config: Config,
}

/// What a setup changes beside the configurations.
struct SetupChanges {
    directory: DirectoryUpdate,
    /// The pools, in the order of their setups.
    pools: Vec<PoolId>,
    /// Pools that are configured no more.
    closed: Vec<PoolId>,
}

impl Driver {
    /// Sets the pools up, at the start or at a reload. `first`: at the start, the names of the zones and server types
    /// that are numbered before all others. At a reload pools keep what they learned, backends that move to another pool
    /// take what is known of them along, and a pool that is configured no more fails over or answers its requests. Returns
    /// the pools' numbers in the order of `setups`.
    ///
    /// # Errors
    /// The field of a configuration that is invalid. Some pools may be configured by then: the caller checks the
    /// configurations before.
    pub fn setup(
        self: &Rc<Self>, first: Option<(&[String], &[String])>, zone: &str, seed: u64,
        config: UpstreamConfig, setups: Vec<PoolSetup>,
    ) -> Result<Vec<PoolId>, ConfigError> {
        let now = self.clock.now();
        self.upstream_config.set(config);
        let specs = setups.iter().map(|setup| setup.spec.clone()).collect();
        let changes = {
            let mut state = self.state.borrow_mut();
            let directory = match first {
                Some((zones, server_types)) => {
                    let (directory, update) =
                        shaletide_membership::Directory::new(zones, server_types, specs);
                    state.directory = directory;
                    update
                }
                None => state.directory.reload(now, specs),
            };
            state.configure_pools(zone, seed, &config, setups, directory)?
        };
        self.apply_endpoint_changes(changes.directory);
        for pool in changes.closed {
            self.state.borrow_mut().endpoint_lists.close_pool(pool);
            self.handle_event(Event::PoolClosed { pool });
        }
        Ok(changes.pools)
    }
}

impl State {
    /// Configures the balancers, the engine and the self-check for pools that the directory has numbered.
    fn configure_pools(
        &mut self, zone: &str, seed: u64, config: &UpstreamConfig, setups: Vec<PoolSetup>,
        directory: DirectoryUpdate,
    ) -> Result<SetupChanges, ConfigError> {
        let zone = self.directory.zone(zone);
        let number = |setup: &PoolSetup| self.directory.pool_named(&setup.spec.name).unwrap_or_default();
        let pools: Vec<PoolId> = setups.iter().map(number).collect();
        let only_deduplication_domain = self.only_deduplication_domain(&pools);
        let may_cancel_attempts = setups.iter().all(|setup| setup.config.may_cancel_attempts);
        let slow_start_window = setups.iter().map(|setup| setup.config.slow_start_window).max();
        self.endpoint_lists.set_slow_start_window(slow_start_window.unwrap_or_default());
        for (pool, setup) in pools.iter().zip(setups) {
            let pool_config = Config { zone, only_deduplication_domain, ..setup.config };
            self.engine.policy_mut().configure(*pool, pool_config, seed)?;
        }
        self.engine.configure(config.connection_limits(), may_cancel_attempts, only_deduplication_domain);
        if let Some(checker) = &mut self.checker {
            checker.configure(may_cancel_attempts, only_deduplication_domain.is_some());
        }
        let closed = self.engine.policy().open().filter(|pool| !pools.contains(pool)).collect();
        Ok(SetupChanges { directory, pools, closed })
    }

    /// The deduplication domain of all these pools; `None` where one has none, or theirs differ.
    fn only_deduplication_domain(&self, pools: &[PoolId]) -> Option<u32> {
        let domains: HashSet<Option<u32>> =
            pools.iter().map(|pool| self.directory.deduplication_domain(*pool)).collect();
        if domains.len() != 1 {
            return None;
        }
        domains.into_iter().next().flatten()
    }
}
