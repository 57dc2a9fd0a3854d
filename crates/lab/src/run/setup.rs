//! The environment of a run, before proxies are started: directory, addresses, backends, links, list service.

use super::{Options, RunError};
use crate::experiment::Experiment;
use crate::fleet::{Addresses, Processes, ReservedPort, Settings};
use crate::paths::{needed, Paths};
use crate::site::{backend_count, start_backends, Site};
use shaletide_testkit::Clock;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// A directory that is removed with its contents, unless it was given by name.
pub struct Root {
    pub path: PathBuf,
    keep: bool,
}

impl Root {
    fn new(out: Option<&Path>) -> Result<Root, RunError> {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let number = RUNS.fetch_add(1, Ordering::Relaxed);
        let own = || std::env::temp_dir().join(format!("shaletide-lab-{}-{number}", std::process::id()));
        let path = out.map_or_else(own, Path::to_path_buf);
        let made = std::fs::create_dir_all(&path).and_then(|()| is_ours(&path));
        made.map_err(|e| RunError::Folder(path.clone(), e))?;
        Ok(Root { path, keep: out.is_some() })
    }
}

/// A directory may be used if it is empty or has an earlier run.
fn is_ours(path: &Path) -> std::io::Result<()> {
    let empty = std::fs::read_dir(path)?.next().is_none();
    if empty || path.join("samples.jsonl").is_file() {
        return Ok(());
    }
    let text = "it holds something, and not an earlier run: name an empty or a new folder";
    Err(std::io::Error::new(std::io::ErrorKind::AlreadyExists, text))
}

impl Drop for Root {
    fn drop(&mut self) {
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// The environment of a run; no proxy is started yet.
pub struct Environment {
    pub processes: Processes,
    pub paths: Paths,
    pub site: Site,
    pub root: Root,
}

impl Environment {
    /// Sets up the environment. Backends and list service run when this returns, and no process does.
    ///
    /// # Errors
    /// The part that could not be set up; nothing is left of the others.
    pub fn set_up(
        experiment: &Experiment, options: &Options, seed: u64, clock: Clock,
    ) -> Result<Environment, RunError> {
        descriptors(experiment)?;
        let root = Root::new(options.out.as_deref())?;
        let addresses = Addresses::new(experiment.fleet.first_address);
        let ports = reserve_ports(experiment, &addresses)?;
        let fleet = start_backends(experiment, seed, clock).map_err(RunError::Site)?;
        let mut paths = Paths::create(experiment, clock, seed, &addresses, &fleet).map_err(RunError::Site)?;
        let views = paths.views(&fleet);
        let site = Site::new(experiment, fleet, views).map_err(RunError::Site)?;
        paths.lead_to_list(&addresses, &site.list).map_err(RunError::Site)?;
        if experiment.cuts_front() {
            let listeners: Vec<SocketAddr> = ports.iter().map(|port| port.address).collect();
            paths.lead_to_proxies(&addresses, &listeners).map_err(RunError::Site)?;
        }
        let settings = Settings {
            lab: options.lab.clone(),
            program: options.program.canonicalize().unwrap_or_else(|_| options.program.clone()),
            descriptors: experiment.fleet.descriptors,
            kill_after: experiment.fleet.kill_after,
        };
        let folder = |e| RunError::Folder(root.path.clone(), e);
        let processes = Processes::new(settings, ports, &root.path).map_err(folder)?;
        Ok(Environment { processes, paths, site, root })
    }
}

fn reserve_ports(experiment: &Experiment, addresses: &Addresses) -> Result<Vec<ReservedPort>, RunError> {
    let reserve =
        |p| ReservedPort::new(addresses.at(p), experiment.fleet.port).map_err(|e| RunError::Address(p, e));
    (0..experiment.fleet.proxies).map(reserve).collect()
}

/// Raises this process's descriptor limit as far as allowed, and checks that it suffices.
fn descriptors(experiment: &Experiment) -> Result<(), RunError> {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let backends = backend_count(experiment);
    let clients = experiment.load.connections.min((experiment.load.requests_per_s * 2.0) as usize);
    let needed = (2 * needed(experiment, backends) + 2 * backends + 6 * experiment.fleet.proxies + 256)
        as u64
        + clients as u64
        + 4 * (experiment.load.requests_per_s as u64).min(4_000);
    let limit = getrlimit(Resource::Nofile);
    let have = limit.maximum.unwrap_or(u64::MAX);
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
    if have < needed {
        return Err(RunError::Descriptors { needed, have });
    }
    Ok(())
}
