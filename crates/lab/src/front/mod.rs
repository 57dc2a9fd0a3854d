//! The load balancer in front of the proxies: it spreads clients' connections unevenly, by zone, and by health checks that
//! lag behind. Pure: time is an argument.

use shaletide_testkit::{Distribution, SeededRng};
use shaletide_types::{Micros, Time};

/// The state of a proxy at the front.
#[derive(Clone, Debug)]
struct ProxyState {
    zone: usize,
    weight: f64,
    /// Since when every check has failed.
    failing: Option<Time>,
    out: bool,
}

/// The balancer.
#[derive(Clone, Debug)]
pub struct FrontBalancer {
    proxies: Vec<ProxyState>,
    own_zone: f64,
    notices_after: Micros,
    rng: SeededRng,
}

impl FrontBalancer {
    /// A balancer over proxies of these zones, all in rotation. `uneven` is the deviation of the weights in multiples of
    /// their mean, `own_zone` the fraction of connections that stay in their zone while a proxy of it is in rotation.
    pub fn new(
        zones: &[usize], uneven: f64, own_zone: f64, notices_after: Micros, seed: u64,
    ) -> FrontBalancer {
        let mut rng = SeededRng::named(seed, "front");
        let law = if uneven > 0.0 { Distribution::LogNormal(1.0, uneven) } else { Distribution::Fixed(1.0) };
        let proxies = zones.iter().map(|zone| ProxyState {
            zone: *zone,
            weight: law.sample(&mut rng).max(1e-3),
            failing: None,
            out: false,
        });
        FrontBalancer { proxies: proxies.collect(), own_zone, notices_after, rng }
    }

    /// Records a check of a proxy's `/-/ready`. Whether it put the proxy into or out of rotation.
    pub fn record_check(&mut self, now: Time, proxy: usize, ready: bool) -> bool {
        let Some(state) = self.proxies.get_mut(proxy) else { return false };
        let was = state.out;
        if ready {
            (state.failing, state.out) = (None, false);
        } else {
            let since = *state.failing.get_or_insert(now);
            state.out = state.out || now - since >= self.notices_after;
        }
        state.out != was
    }

    /// Whether a proxy is given connections.
    pub fn is_in_rotation(&self, proxy: usize) -> bool {
        self.proxies.get(proxy).is_some_and(|p| !p.out)
    }

    /// The proxy for a connection of a client of that zone; none where all are out of rotation. Linear in the proxies.
    pub fn select_proxy(&mut self, zone: usize) -> Option<usize> {
        let stays = self.rng.uniform() < self.own_zone;
        let here = self.proxies.iter().any(|p| !p.out && p.zone == zone);
        let fits = |p: &ProxyState| !p.out && (!(stays && here) || p.zone == zone);
        let all: f64 = self.proxies.iter().filter(|p| fits(p)).map(|p| p.weight).sum();
        let mut left = self.rng.uniform() * all;
        let mut last = None;
        for (number, state) in self.proxies.iter().enumerate().filter(|(_, p)| fits(p)) {
            last = Some(number);
            left -= state.weight;
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

#[cfg(test)]
mod tests;
