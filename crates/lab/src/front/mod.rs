//! Who deals clients' connections to proxies: unevenly, by zone, with a view of who is up that lags behind. Pure: time
//! is an argument.

use shaletide_testkit::{Law, SeededRng};
use shaletide_types::{Micros, Time};

/// A proxy as the front sees it.
#[derive(Clone, Debug)]
struct Place {
    zone: usize,
    weight: f64,
    /// Since when every check failed.
    failing: Option<Time>,
    out: bool,
}

/// The dealer.
#[derive(Clone, Debug)]
pub struct Dealer {
    places: Vec<Place>,
    own_zone: f64,
    notices_after: Micros,
    rng: SeededRng,
}

impl Dealer {
    /// A dealer to proxies of these zones, all of them in. `uneven` is the deviation of the weights in multiples of
    /// their mean, `own_zone` the part of connections that stay in their zone while one there is in.
    pub fn new(zones: &[usize], uneven: f64, own_zone: f64, notices_after: Micros, seed: u64) -> Dealer {
        let mut rng = SeededRng::of(seed, "front");
        let law = if uneven > 0.0 { Law::LogNormal(1.0, uneven) } else { Law::Fixed(1.0) };
        let places = zones.iter().map(|zone| Place {
            zone: *zone,
            weight: law.draw(&mut rng).max(1e-3),
            failing: None,
            out: false,
        });
        Dealer { places: places.collect(), own_zone, notices_after, rng }
    }

    /// A check of a proxy's `/-/ready` is over. Whether the proxy went out or in by it.
    pub fn checked(&mut self, now: Time, proxy: usize, ready: bool) -> bool {
        let Some(place) = self.places.get_mut(proxy) else { return false };
        let was = place.out;
        if ready {
            (place.failing, place.out) = (None, false);
        } else {
            let since = *place.failing.get_or_insert(now);
            place.out = place.out || now - since >= self.notices_after;
        }
        place.out != was
    }

    /// Whether a proxy is dealt connections.
    pub fn is_in(&self, proxy: usize) -> bool {
        self.places.get(proxy).is_some_and(|p| !p.out)
    }

    /// The proxy for a connection of a client of that zone; none where all are out. Costs a look at each.
    pub fn deal(&mut self, zone: usize) -> Option<usize> {
        let stays = self.rng.part() < self.own_zone;
        let here = self.places.iter().any(|p| !p.out && p.zone == zone);
        let fits = |p: &Place| !p.out && (!(stays && here) || p.zone == zone);
        let all: f64 = self.places.iter().filter(|p| fits(p)).map(|p| p.weight).sum();
        let mut left = self.rng.part() * all;
        let mut last = None;
        for (number, place) in self.places.iter().enumerate().filter(|(_, p)| fits(p)) {
            last = Some(number);
            left -= place.weight;
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

#[cfg(test)]
mod tests;
