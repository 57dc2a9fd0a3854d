//! Zone affinity: where crossing zones costs, traffic stays in this proxy's zone as far as all proxies together still
//! give every backend the same part. A zone whose backends are due less than its proxies bring sends its surplus to the
//! zones that are due more. Every zone is taken to bring the same part of the traffic.

use shaletide_types::*;
use std::collections::BTreeMap;

/// How the traffic is divided between zones.
pub(crate) struct ZoneAffinity {
    own_zone: ZoneId,
    /// Part of all traffic that the zone's backends are due.
    due: BTreeMap<ZoneId, f64>,
    /// Number of zones with backends.
    zones: f64,
    /// What zones are due beyond what their proxies bring, added up, in multiples of what one zone brings.
    total_deficit: f64,
}

impl ZoneAffinity {
    /// By the part of all traffic that each zone's backends are due.
    pub fn new(own_zone: ZoneId, due: BTreeMap<ZoneId, f64>) -> ZoneAffinity {
        let zones = due.len() as f64;
        let total_deficit = due.values().map(|due| (due * zones - 1.0).max(0.0)).sum();
        ZoneAffinity { own_zone, due, zones, total_deficit }
    }

    /// What this proxy sends to a backend of the zone, in multiples of what it would send without affinity; 1 where the
    /// zone is due nothing.
    pub fn factor(&self, zone: ZoneId) -> f64 {
        let due = self.due.get(&zone).map_or(0.0, |due| due.max(1e-9));
        if due <= 0.0 {
            return 1.0;
        }
        self.sent_to(zone, due) / due
    }

    /// The part of this proxy's traffic that goes to the zone.
    fn sent_to(&self, zone: ZoneId, due: f64) -> f64 {
        let own_due = self.due.get(&self.own_zone).copied().unwrap_or(0.0);
        if zone == self.own_zone {
            return (own_due * self.zones).min(1.0);
        }
        let surplus = (1.0 - own_due * self.zones).max(0.0);
        let deficit = (due * self.zones - 1.0).max(0.0);
        surplus * deficit / self.total_deficit.max(1e-9)
    }
}
