//! HALB (heterogeneity-aware load balancing): the optimal division of traffic between servers of different speeds.
//!
//! Each server is modelled as an M/G/1 queue with processor sharing, as in the literature on heterogeneity-aware load
//! balancing. With n servers of each type at service rate mu and an arrival rate lambda, the mean latency is minimal
//! where a type receives n mu - n sqrt(mu) (sum of n mu - lambda) / (sum of n sqrt(mu)). Types for which this is
//! negative receive nothing, and the shares of the others are solved again without them.

/// Fraction of the total capacity below which the arrival rate counts as 0.
const MIN_UTILIZATION: f64 = 1e-6;

/// Returns the fraction of the traffic, from 0 to 1, for each server type. A server type is given as the number of its
/// ready servers and the requests a second that one of them can serve. `rate` is the arrival rate in requests a second;
/// without it, traffic is divided by the number of servers. All fractions are 0 where no server is ready.
pub fn halb_shares(server_types: &[(f64, f64)], rate: Option<f64>) -> Vec<f64> {
    let Some(rate) = rate else { return shares_by_count(server_types, |_| true) };
    let mut used = server_types.to_vec();
    loop {
        let mut total_root = 0.0;
        let mut total_capacity = 0.0;
        for (count, capacity) in &used {
            total_root += count * capacity.sqrt();
            total_capacity += count * capacity;
        }
        if rate <= total_capacity * MIN_UTILIZATION || total_capacity <= 0.0 {
            let ready = used.iter().filter(|(count, _)| *count > 0.0);
            let fastest = ready.map(|(_, capacity)| *capacity).fold(0.0, f64::max);
            return shares_by_count(server_types, |capacity| capacity == fastest);
        }
        let spare = total_capacity - rate;
        let flow =
            |(count, capacity): &(f64, f64)| count * capacity - count * capacity.sqrt() * spare / total_root;
        let flows: Vec<f64> = used.iter().map(flow).collect();
        if flows.iter().all(|flow| *flow >= 0.0) {
            return flows.iter().map(|flow| flow / rate).collect();
        }
        for ((count, _), flow) in used.iter_mut().zip(&flows) {
            if *flow <= 0.0 {
                *count = 0.0;
            }
        }
    }
}

/// Divides the traffic between the server types whose capacity satisfies `is_used`, by their number of servers.
fn shares_by_count(server_types: &[(f64, f64)], is_used: impl Fn(f64) -> bool) -> Vec<f64> {
    let used = server_types.iter().filter(|(_, capacity)| is_used(*capacity));
    let total: f64 = used.map(|(count, _)| count).sum();
    let share = |(count, capacity): &(f64, f64)| {
        if is_used(*capacity) && total > 0.0 {
            count / total
        } else {
            0.0
        }
    };
    server_types.iter().map(share).collect()
}
