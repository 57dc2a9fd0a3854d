//! Adds the steps of each fault kind, with one function for each.
//!
//! The order of the draws within each function is part of the plan of a seed.

use super::builder::{PlanBuilder, HOUR_S};
use super::{BackendFault, FaultKind, ProcessEnd, ProcessStart, Step};
use crate::call_faults::CallFault;

/// System call faults that a run draws from, with their maximum probabilities.
const CALLS: [(CallFault, f64); 13] = [
    (CallFault::ShortRead, 0.5),
    (CallFault::ShortWrite, 0.5),
    (CallFault::InterruptedRead, 0.2),
    (CallFault::InterruptedWrite, 0.2),
    (CallFault::InterruptedWait, 0.3),
    (CallFault::Accept, 0.3),
    (CallFault::Socket, 0.3),
    (CallFault::Connect, 0.3),
    (CallFault::BrokenUpstream, 0.02),
    (CallFault::SocketOption, 0.3),
    (CallFault::SlowWrite, 0.002),
    (CallFault::Bind, 0.9),
    (CallFault::Listen, 0.9),
];

impl PlanBuilder {
    /// Adds the steps of a fault kind.
    pub(super) fn add_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::Stop => self.add_stops(),
            FaultKind::Kill => self.add_kills(),
            FaultKind::Reload => self.add_reloads(),
            FaultKind::Discovery => self.add_discovery_outage(),
            FaultKind::DiscoveryLink => self.add_discovery_cuts(),
            FaultKind::Drain => self.add_drains(),
            FaultKind::Death => self.add_deaths(),
            FaultKind::Illness => self.add_backend_faults(),
            FaultKind::BackendLink => self.add_backend_link_faults(),
            FaultKind::Calls => self.add_call_faults(),
            FaultKind::WallClock => self.add_wall_clock_steps(),
            FaultKind::Freeze => self.add_freezes(),
            FaultKind::Crowd => self.add_idle_crowds(),
            FaultKind::ShortStart => self.add_starts_short_of_sockets(),
            FaultKind::HeldAddress => self.add_held_addresses(),
            FaultKind::Overlap => self.add_overlaps(),
            FaultKind::HalfConfiguration => self.add_half_configurations(),
            FaultKind::EarlyStop => self.add_early_stops(),
            FaultKind::Clients => self.add_misbehaving_clients(),
            FaultKind::Lengthless => self.add_lengthless_answers(),
            FaultKind::Partition => self.add_partitions(),
            FaultKind::SilentMove => self.add_silent_moves(),
            FaultKind::SilentOutage => self.add_silent_outage(),
        }
    }

    fn add_stops(&mut self) {
        let mut at = self.time();
        for proxy in self.sample_proxies(0.5) {
            let signals = self.stop_signals();
            self.add_restart(at, proxy, ProcessEnd::Stop(signals), ProcessStart::Normal);
            at += self.pause_s();
        }
    }

    fn add_kills(&mut self) {
        let at = self.time();
        for proxy in self.sample_proxies(0.4) {
            let delay = self.between(0.0, 0.3);
            self.add_restart(at + delay, proxy, ProcessEnd::Kill, ProcessStart::Normal);
        }
    }

    fn add_overlaps(&mut self) {
        let mut at = self.time();
        for proxy in self.sample_proxies(0.5) {
            self.add_restart(at, proxy, ProcessEnd::Overlap, ProcessStart::Normal);
            at += self.pause_s();
        }
    }

    fn add_reloads(&mut self) {
        for proxy in self.sample_proxies(0.7) {
            let mut at = self.time();
            for _ in 0..1 + self.below(3) {
                self.add(at, Step::Reload(proxy));
                at += self.between(0.0, 0.6);
            }
        }
    }

    fn add_starts_short_of_sockets(&mut self) {
        let at = self.time();
        self.add(at, Step::CallFault(CallFault::Socket, 0.9));
        for proxy in self.sample_proxies(0.3) {
            let delay = self.between(0.0, 0.2);
            self.add_restart(at + delay, proxy, ProcessEnd::Kill, ProcessStart::Normal);
        }
        let duration = self.between(0.3, 1.5);
        self.add(at + duration, Step::CallFault(CallFault::Socket, 0.0));
    }

    fn add_held_addresses(&mut self) {
        let most_ms = 0.25 * self.length_s() * 1e3;
        self.add_restarts(|builder| {
            let millis = builder.log_millis(100.0, most_ms.max(200.0));
            if builder.chance(0.3) {
                ProcessStart::StopWhileHeld(millis)
            } else {
                ProcessStart::HeldAddress(millis)
            }
        });
    }

    fn add_half_configurations(&mut self) {
        self.add_restarts(|builder| ProcessStart::HalfConfiguration(builder.log_millis(20.0, 2_000.0)));
    }

    fn add_early_stops(&mut self) {
        self.add_restarts(|builder| ProcessStart::EarlyStop(builder.log_millis(1.0, 40.0)));
    }

    /// Restarts some proxies in quick succession by a kill or a stop. `draw_start` draws how the next process of each starts.
    fn add_restarts(&mut self, draw_start: impl Fn(&mut PlanBuilder) -> ProcessStart) {
        let mut at = self.time();
        for proxy in self.sample_proxies(0.4) {
            let end = if self.chance(0.5) { ProcessEnd::Kill } else { ProcessEnd::Stop(self.stop_signals()) };
            let start = draw_start(self);
            self.add_restart(at, proxy, end, start);
            at += self.pause_s();
        }
    }

    fn add_discovery_outage(&mut self) {
        let at = self.time();
        let is_silent = self.chance(0.7);
        self.add(at, if is_silent { Step::DiscoverySilent } else { Step::DiscoveryBroken });
        let duration = self.between(0.5, 0.3 * self.length_s());
        self.add(at + duration, Step::DiscoveryUp);
    }

    fn add_discovery_cuts(&mut self) {
        for proxy in self.sample_proxies(0.4) {
            let at = self.time();
            self.add(at, Step::DiscoveryCut(proxy));
            let duration = self.between(0.3, 0.3 * self.length_s());
            self.add(at + duration, Step::DiscoveryHealed(proxy));
        }
    }

    /// The drains come first, so that the run has time for late requests: the previous discovery has them at the moves.
    fn add_silent_moves(&mut self) {
        let at = self.between(0.1, 0.2) * self.length_s();
        self.add(at, Step::OpenCallsSilent);
        for backend in self.sample_backends(0.3) {
            let delay = self.between(0.01, 0.1);
            self.add(at + delay, Step::DrainBackend(backend));
        }
        for proxy in self.sample_proxies(0.8) {
            let moved = at + self.between(0.12, 0.5);
            self.add(moved, Step::ReloadToSilent(proxy));
            let duration = self.between(3.5, 4.5);
            self.add(moved + duration, Step::DiscoveryHealed(proxy));
        }
    }

    /// The silence may be several calls old at the drains. The outage begins late enough for a proxy that was paused to have
    /// called discovery after the drains, and lasts longer than the grace.
    fn add_silent_outage(&mut self) {
        let silent = self.between(0.06, 0.2) * self.length_s();
        self.add(silent, Step::OpenCallsSilent);
        let drained = silent + self.between(0.0, 0.3);
        for backend in self.sample_backends(0.3) {
            self.add(drained, Step::DrainBackend(backend));
        }
        let down = drained + self.between(0.2, 0.5);
        let is_silent = self.chance(0.7);
        self.add(down, if is_silent { Step::DiscoverySilent } else { Step::DiscoveryBroken });
        let duration = self.between(0.6, 0.8) * self.length_s();
        self.add(down + duration, Step::DiscoveryUp);
    }

    fn add_drains(&mut self) {
        for backend in self.sample_backends(0.3) {
            let at = self.time();
            self.add(at, Step::DrainBackend(backend));
            let removed = at + self.between(2.5, 3.5);
            self.add(removed, Step::RemoveBackend(backend));
            let returned = removed + self.between(0.1, 1.0);
            self.add(returned, Step::StartBackend(backend));
        }
    }

    fn add_deaths(&mut self) {
        for backend in self.sample_backends(0.2) {
            let at = self.time();
            self.add(at, Step::KillBackend(backend));
            let returned = at + self.between(0.2, 2.0);
            self.add(returned, Step::StartBackend(backend));
        }
    }

    fn add_backend_faults(&mut self) {
        for backend in self.sample_backends(0.4) {
            let at = self.time();
            let fault = self.draw_backend_fault();
            self.add(at, Step::BackendFault(backend, fault));
            let duration = self.between(0.5, 0.4 * self.length_s());
            self.add(at + duration, Step::BackendHealed(backend));
        }
    }

    fn add_lengthless_answers(&mut self) {
        for (number, backend) in self.sample_backends(0.8).into_iter().enumerate() {
            let at = self.between(0.1, 0.3) * self.length_s();
            let fault = if number == 0 { BackendFault::LengthlessReset } else { BackendFault::Lengthless };
            self.add(at, Step::BackendFault(backend, fault));
            let duration = self.between(0.3, 0.6) * self.length_s();
            self.add(at + duration, Step::BackendHealed(backend));
        }
    }

    fn draw_backend_fault(&mut self) -> BackendFault {
        match self.below(9) {
            0 => BackendFault::Hangs(self.between(0.2, 1.0)),
            1 => BackendFault::Fails(self.between(0.2, 1.0)),
            2 => BackendFault::Resets(self.between(0.1, 1.0)),
            3 => BackendFault::Slow(self.between(2.0, 10.0)),
            4 => BackendFault::Drips(5 + self.below(100) as u64),
            5 => BackendFault::Garbage,
            6 => BackendFault::Truncates,
            7 => BackendFault::TwoSegments,
            _ => BackendFault::Closes,
        }
    }

    fn add_backend_link_faults(&mut self) {
        for proxy in self.sample_proxies(0.5) {
            let backend = self.below(self.scale.backends);
            let at = self.time();
            let faults = [Step::LinkReset, Step::LinkSilent, Step::LinkSlow];
            let fault = faults[self.below(faults.len())](proxy, backend);
            self.add(at, fault);
            let duration = self.between(0.2, 0.3 * self.length_s());
            self.add(at + duration, Step::LinkHealed(proxy, backend));
        }
    }

    fn add_partitions(&mut self) {
        for begin in [0.1, 0.5] {
            for proxy in self.sample_proxies(0.8) {
                let at = (begin + self.between(0.0, 0.1)) * self.length_s();
                let healed = at + self.between(0.8, 1.8);
                for backend in (0..self.scale.backends).step_by(2) {
                    self.add(at, Step::LinkSilent(proxy, backend));
                    self.add(healed, Step::LinkHealed(proxy, backend));
                }
            }
        }
    }

    fn add_call_faults(&mut self) {
        for _ in 0..3 + self.below(4) {
            let (fault, highest_chance) = CALLS[self.below(CALLS.len())];
            let at = self.time();
            let chance = self.between(0.1, 1.0) * highest_chance;
            self.add(at, Step::CallFault(fault, chance));
            let duration = self.between(1.0, 0.5 * self.length_s());
            self.add(at + duration, Step::CallFault(fault, 0.0));
        }
    }

    fn add_wall_clock_steps(&mut self) {
        for _ in 0..3 {
            let at = self.time();
            let hours = self.below(3) as i64 - 1;
            self.add(at, Step::WallClock(HOUR_S * hours));
        }
    }

    fn add_freezes(&mut self) {
        for proxy in self.sample_proxies(0.6) {
            let at = self.time();
            let millis = 20 + self.below(130) as u64;
            self.add(at, Step::Freeze(proxy, millis));
        }
    }

    fn add_idle_crowds(&mut self) {
        for proxy in self.sample_proxies(0.4) {
            let at = self.time();
            self.add(at, Step::IdleCrowd(proxy));
        }
    }

    fn add_misbehaving_clients(&mut self) {
        for proxy in self.sample_proxies(0.6) {
            let at = self.time();
            self.add(at, Step::MisbehavingClients(proxy));
        }
    }
}
