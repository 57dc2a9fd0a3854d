//! Applies the steps of a plan, and records them for the oracle as far as it needs them.

use super::{set_link, Testbed};
use crate::clients::{hold_idle_connections, run_misbehaving_clients};
use crate::plan::{BackendFault, Restart, Step};
use nix::sys::signal::Signal;
use shaletide_lab::links::{Cut, Fault as LinkFault, Link};
use shaletide_testkit::{Distribution, Fault, ListService, Sending};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Minimum and maximum delay of bytes on a slow link, ms.
const SLOW_LINK_MS: (f64, f64) = (20.0, 300.0);

impl Testbed {
    /// Applies a step. `restarts`: for each proxy, the channel that requests a restart of its process.
    pub(super) fn apply_step(
        self: &Arc<Testbed>, step: Step, restarts: &[mpsc::Sender<Restart>],
    ) -> io::Result<()> {
        match step {
            // If the channel of the proxy is full, the restart is skipped.
            Step::Restart(proxy, restart) => {
                let _ = restarts[proxy].try_send(restart);
            }
            Step::Reload(proxy) => self.reload(proxy)?,
            Step::ReloadToSilent(proxy) => self.reload_to_silent(proxy)?,
            Step::OpenCallsSilent => self.discovery.silence_open_calls(),
            Step::Freeze(proxy, millis) => self.freeze(proxy, millis),
            Step::DiscoverySilent => self.stop_discovery(ListService::Silent),
            Step::DiscoveryBroken => self.stop_discovery(ListService::Broken),
            Step::DiscoveryUp => self.resume_discovery(),
            Step::DiscoveryCut(proxy) => self.cut_discovery(proxy)?,
            Step::DiscoveryHealed(proxy) => self.heal_discovery(proxy)?,
            Step::DrainBackend(backend) => self.drain_backend(backend),
            Step::RemoveBackend(backend) => self.remove_backend(backend),
            Step::StartBackend(backend) => self.start_backend(backend),
            Step::KillBackend(backend) => self.kill_backend(backend),
            Step::BackendFault(backend, fault) => self.set_backend_fault(backend, fault),
            Step::BackendHealed(backend) => self.heal_backend(backend),
            Step::LinkReset(proxy, backend) => self.reset_link(proxy, backend)?,
            Step::LinkSilent(proxy, backend) => self.silence_link(proxy, backend)?,
            Step::LinkSlow(proxy, backend) => self.slow_link(proxy, backend)?,
            Step::LinkHealed(proxy, backend) => self.heal_link(proxy, backend)?,
            Step::CallFault(fault, chance) => self.control.set(fault, chance)?,
            Step::WallClock(seconds) => self.control.step_wall_clock(seconds)?,
            Step::IdleCrowd(proxy) => self.start_idle_crowd(proxy),
            Step::MisbehavingClients(proxy) => self.start_misbehaving_clients(proxy),
        }
        Ok(())
    }

    fn reload(&self, proxy: usize) -> io::Result<()> {
        let now = self.clock.now();
        self.observations().discovery_moves[proxy].push(now);
        self.slots[proxy].move_discovery(&self.process_context())
    }

    /// The address before the move stays reachable, so that the proxy can learn what discovery had before the move.
    fn reload_to_silent(&self, proxy: usize) -> io::Result<()> {
        let next = self.slots[proxy].next_discovery();
        set_link(&self.discovery_links[proxy][next], LinkFault::cut(Cut::Silent))?;
        self.reload(proxy)?;
        self.discovery_unreachable_from_now(proxy..=proxy);
        Ok(())
    }

    fn freeze(self: &Arc<Testbed>, proxy: usize, millis: u64) {
        let testbed = self.clone();
        tokio::spawn(async move {
            testbed.slots[proxy].signal(Signal::SIGSTOP, testbed.clock);
            tokio::time::sleep(Duration::from_millis(millis)).await;
            testbed.slots[proxy].signal(Signal::SIGCONT, testbed.clock);
        });
    }

    fn start_idle_crowd(&self, proxy: usize) {
        tokio::spawn(hold_idle_connections(self.slots[proxy].address(), self.settings.max_descriptors));
    }

    fn start_misbehaving_clients(&self, proxy: usize) {
        tokio::spawn(run_misbehaving_clients(self.slots[proxy].address(), self.next_client_run()));
    }

    fn stop_discovery(&self, service: ListService) {
        self.discovery_unreachable_from_now(0..self.scale.proxies);
        self.discovery.set_service(service);
    }

    fn resume_discovery(&self) {
        self.discovery.set_service(ListService::Up);
        self.discovery_reachable_again(0..self.scale.proxies);
    }

    fn cut_discovery(&self, proxy: usize) -> io::Result<()> {
        self.discovery_unreachable_from_now(proxy..=proxy);
        self.set_discovery_links(proxy, LinkFault::cut(Cut::Silent))
    }

    fn heal_discovery(&self, proxy: usize) -> io::Result<()> {
        self.set_discovery_links(proxy, LinkFault::default())?;
        self.discovery_reachable_again(proxy..=proxy);
        Ok(())
    }

    fn set_discovery_links(&self, proxy: usize, fault: LinkFault) -> io::Result<()> {
        self.discovery_links[proxy].iter().try_for_each(|link| set_link(link, fault))
    }

    fn drain_backend(&self, backend: usize) {
        let from = self.clock.now();
        self.discovery.drain(&format!("b{backend}"));
        self.note_drain(backend, from);
        self.fleet.backends()[backend].drain();
    }

    fn remove_backend(&self, backend: usize) {
        self.discovery.delete(&format!("b{backend}"));
        self.fleet.backends()[backend].kill();
    }

    fn start_backend(&self, backend: usize) {
        let handle = &self.fleet.backends()[backend];
        handle.restart();
        let now = self.clock.now();
        self.discovery.put(handle.entry());
        self.note_backend_start(backend, now);
    }

    fn kill_backend(&self, backend: usize) {
        self.fleet.backends()[backend].kill();
    }

    fn set_backend_fault(&self, backend: usize, fault: BackendFault) {
        self.fleet.backends()[backend].set_fault(stand_in_fault(fault));
    }

    fn heal_backend(&self, backend: usize) {
        let handle = &self.fleet.backends()[backend];
        for fault in [
            Fault::Hang(0.0),
            Fault::Fail(0.0),
            Fault::Reset(0.0),
            Fault::Slow(1.0),
            Fault::Keep,
            Fault::Send(Sending::Whole),
        ] {
            handle.set_fault(fault);
        }
    }

    fn backend_link(&self, proxy: usize, backend: usize) -> &Link {
        &self.backend_links[proxy][backend]
    }

    fn reset_link(&self, proxy: usize, backend: usize) -> io::Result<()> {
        let link = self.backend_link(proxy, backend);
        link.refuse(true);
        set_link(link, LinkFault::cut(Cut::Reset))
    }

    fn silence_link(&self, proxy: usize, backend: usize) -> io::Result<()> {
        self.link_delayed_from_now(proxy, backend);
        set_link(self.backend_link(proxy, backend), LinkFault::cut(Cut::Silent))
    }

    fn slow_link(&self, proxy: usize, backend: usize) -> io::Result<()> {
        self.link_delayed_from_now(proxy, backend);
        let (least_ms, most_ms) = SLOW_LINK_MS;
        let fault = LinkFault::delay_ms(Distribution::Even(least_ms, most_ms));
        set_link(self.backend_link(proxy, backend), fault)
    }

    fn heal_link(&self, proxy: usize, backend: usize) -> io::Result<()> {
        let link = self.backend_link(proxy, backend);
        set_link(link, LinkFault::default())?;
        link.refuse(false);
        self.link_delayed_until_now(proxy, backend);
        Ok(())
    }
}

/// Converts a backend fault to the testkit's type.
fn stand_in_fault(fault: BackendFault) -> Fault {
    match fault {
        BackendFault::Hangs(part) => Fault::Hang(part),
        BackendFault::Fails(part) => Fault::Fail(part),
        BackendFault::Resets(part) => Fault::Reset(part),
        BackendFault::Slow(times) => Fault::Slow(times),
        BackendFault::Closes => Fault::Close(false),
        BackendFault::Drips(millis) => Fault::Send(Sending::Drip(Duration::from_millis(millis))),
        BackendFault::Lengthless => Fault::Send(Sending::UntilClose),
        BackendFault::LengthlessReset => Fault::Send(Sending::UntilReset),
        BackendFault::Garbage => Fault::Send(Sending::Raw(vec![b"no answer at all\r\n\r\n".to_vec()])),
        BackendFault::Truncates => Fault::Send(Sending::Raw(vec![
            b"HTTP/1.1 200 X\r\nContent-Length: 50\r\n\r\n".to_vec(),
            b"half of it".to_vec(),
        ])),
        BackendFault::TwoSegments => Fault::Send(Sending::TwoSegments),
    }
}
