//! Zone affinity: where crossing zones has a cost, traffic stays in this proxy's zone as far as all proxies together
//! still give every backend its share. A zone whose proxies bring more traffic than the share of its backends sends the
//! surplus to zones where it is the other way round. Every zone is assumed to bring the same traffic.

use shaletide_types::*;
use std::collections::BTreeMap;

/// The division of this proxy's traffic between zones.
pub(crate) struct ZoneAffinity {
    own_zone: ZoneId,
    /// By zone, the share of all traffic that the zone's backends should receive.
    share: BTreeMap<ZoneId, f64>,
    /// Number of zones with backends.
    zones: f64,
    /// Sum over the zones of the traffic that their backends should receive beyond that of their own proxies, in
    /// multiples of one zone's traffic.
    total_deficit: f64,
}

impl ZoneAffinity {
    /// Creates the division from the share of all traffic that each zone's backends should receive.
    pub fn new(own_zone: ZoneId, share: BTreeMap<ZoneId, f64>) -> ZoneAffinity {
        let zones = share.len() as f64;
        let total_deficit = share.values().map(|share| (share * zones - 1.0).max(0.0)).sum();
        ZoneAffinity { own_zone, share, zones, total_deficit }
    }

    /// Returns the traffic that this proxy sends to a backend of the zone, in multiples of what it would send without
    /// affinity; 1 where the zone's share is 0.
    pub fn factor(&self, zone: ZoneId) -> f64 {
        let share = self.share.get(&zone).map_or(0.0, |share| share.max(1e-9));
        if share <= 0.0 {
            return 1.0;
        }
        self.sent_to(zone, share) / share
    }

    /// Returns the fraction of this proxy's traffic that goes to the zone.
    fn sent_to(&self, zone: ZoneId, share: f64) -> f64 {
        let own_share = self.share.get(&self.own_zone).copied().unwrap_or(0.0);
        if zone == self.own_zone {
            return (own_share * self.zones).min(1.0);
        }
        let surplus = (1.0 - own_share * self.zones).max(0.0);
        let deficit = (share * self.zones - 1.0).max(0.0);
        surplus * deficit / self.total_deficit.max(1e-9)
    }
}
