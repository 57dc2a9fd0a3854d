//! Configuration of pools and connection settings, at startup and at a reload.

use super::attempts::UpstreamConfig;
use super::{Driver, State};
use shaletide_balancer::{Config, ConfigError};
use shaletide_engine::Event;
use shaletide_membership::{DirectoryUpdate, PoolSpec};
use shaletide_types::PoolId;
use std::collections::HashSet;
use std::rc::Rc;

/// The configuration of a pool.
#[derive(Clone, Debug)]
pub struct PoolSetup {
    /// The pool's name, and the source of its endpoint list.
    pub spec: PoolSpec,
    /// The configuration of the pool's balancer. [`Driver::setup`] sets the zone and the deduplication domain.
    pub config: Config,
}

/// The changes that a setup brings beside the new configurations.
struct SetupChanges {
    directory: DirectoryUpdate,
    /// The configured pools, in the order of their setups.
    pools: Vec<PoolId>,
    /// Pools that are no longer configured.
    closed: Vec<PoolId>,
}

impl Driver {
    /// Configures the pools, at startup or at a reload. At startup, `first` has the names of the zones and server types
    /// that are numbered before all others; at a reload it is `None`. At a reload, pools keep their learned state, backends
    /// that move to another pool keep theirs, and a pool that is no longer configured fails its requests over or answers
    /// them. Returns the pools' numbers in the order of `setups`.
    ///
    /// # Errors
    /// Returns the invalid field of a configuration. Some pools may already be configured by then, so the caller has to
    /// check the configurations beforehand.
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
    /// Configures the balancers, the engine and the self-check for pools that are in the directory.
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
        let closed = self.engine.policy().open_pools().filter(|pool| !pools.contains(pool)).collect();
        Ok(SetupChanges { directory, pools, closed })
    }

    /// Returns the deduplication domain that all these pools share, or `None` if a pool has none or their domains differ.
    fn only_deduplication_domain(&self, pools: &[PoolId]) -> Option<u32> {
        let domains: HashSet<Option<u32>> =
            pools.iter().map(|pool| self.directory.deduplication_domain(*pool)).collect();
        if domains.len() != 1 {
            return None;
        }
        domains.into_iter().next().flatten()
    }
}
