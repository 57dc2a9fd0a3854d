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
mod tests {
    use super::*;

    const ZONES: [usize; 6] = [0, 1, 0, 1, 0, 1];

    fn dealer(uneven: f64, own_zone: f64) -> Dealer {
        Dealer::new(&ZONES, uneven, own_zone, Micros(1_000_000), 7)
    }

    fn dealt(dealer: &mut Dealer, zone: usize) -> [u32; 6] {
        let mut counts = [0; 6];
        (0..6_000).filter_map(|_| dealer.deal(zone)).for_each(|p| counts[p] += 1);
        counts
    }

    #[test]
    fn connections_stay_in_their_zone_while_a_proxy_there_is_in() {
        let mut front = dealer(0.0, 1.0);
        let counts = dealt(&mut front, 1);
        assert_eq!((counts[0], counts[2], counts[4]), (0, 0, 0));
        assert!(counts.iter().skip(1).step_by(2).all(|c| (1_800..2_200).contains(c)), "{counts:?}");
        for proxy in [1, 3, 5] {
            front.checked(Time(0), proxy, false);
            front.checked(Time(1_000_000), proxy, false);
        }
        assert!(dealt(&mut front, 1)[0] > 1_500, "all of that zone are out");
    }

    #[test]
    fn a_dead_proxy_is_dealt_to_until_it_was_failing_for_long_enough() {
        let mut front = dealer(0.0, 0.0);
        assert!(!front.checked(Time(500_000), 2, false));
        assert!(dealt(&mut front, 0)[2] > 0);
        assert!(!front.checked(Time(1_400_000), 2, false));
        assert!(front.checked(Time(1_500_000), 2, false), "out");
        assert_eq!(dealt(&mut front, 0)[2], 0);
        assert!(front.checked(Time(1_600_000), 2, true), "in again at the first good check");
        assert!(dealt(&mut front, 0)[2] > 0);
        front.checked(Time(3_000_000), 2, false);
        assert!(front.is_in(2), "the time counts anew");
    }

    #[test]
    fn weights_are_as_uneven_as_asked_and_the_same_for_the_same_seed() {
        let even = dealt(&mut dealer(0.0, 0.0), 0);
        let uneven = dealt(&mut dealer(1.0, 0.0), 0);
        let spread = |c: &[u32; 6]| c.iter().max().unwrap_or(&0) - c.iter().min().unwrap_or(&0);
        assert!(spread(&uneven) > 3 * spread(&even), "{uneven:?} {even:?}");
        assert_eq!(uneven, dealt(&mut dealer(1.0, 0.0), 0));
    }

    #[test]
    fn nobody_is_dealt_to_when_all_are_out() {
        let mut front = dealer(0.3, 1.0);
        for proxy in 0..6 {
            front.checked(Time(0), proxy, false);
            front.checked(Time(2_000_000), proxy, false);
        }
        assert_eq!(front.deal(0), None);
    }
}
