//! Processor time of processes, from `/proc`.

use std::collections::BTreeMap;

/// Clock ticks of user and system time from the text of `/proc/PID/stat`; none if it is malformed.
fn ticks(stat: &str) -> Option<u64> {
    // The second field is a name in parentheses that may contain any character.
    let rest = stat.rsplit_once(") ")?.1;
    let mut fields = rest.split(' ').skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

fn taken_ms(who: &str) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{who}/stat")).ok()?;
    Some(ticks(&stat)? * 1_000 / rustix::param::clock_ticks_per_second().max(1))
}

/// Processor time that the lab and its processes used since the last call.
#[derive(Debug, Default)]
pub struct Cpu {
    lab: u64,
    fleet: BTreeMap<u32, u64>,
}

impl Cpu {
    /// Milliseconds of the lab, and of the processes with these ids together; 0 where `/proc` has no value.
    pub fn taken(&mut self, pids: &[u32]) -> (u64, u64) {
        let lab = taken_ms("self").unwrap_or(self.lab);
        let own = lab.saturating_sub(std::mem::replace(&mut self.lab, lab));
        let now: BTreeMap<u32, u64> =
            pids.iter().filter_map(|pid| Some((*pid, taken_ms(&pid.to_string())?))).collect();
        let before = std::mem::replace(&mut self.fleet, now);
        let grown =
            self.fleet.iter().map(|(pid, ms)| ms.saturating_sub(before.get(pid).copied().unwrap_or(0)));
        (own, grown.sum())
    }
}

#[cfg(test)]
mod tests;
