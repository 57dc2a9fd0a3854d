//! The sections of the topology and the load: fleet, backends, list, load, front, classes and tenants.

use super::reader::Table;
use super::*;
use std::collections::BTreeSet;

const ANY: (f64, f64) = (0.0, 1e6);

pub(super) fn fleet(table: &Table<'_>) -> FleetPart {
    let part = FleetPart {
        proxies: table.whole_or("proxies", (1, 60), 12) as usize,
        zones: zones(table),
        descriptors: table.whole_or("descriptors", (128, 1_000_000), 1024),
        first_address: table.loopback("first_address"),
        port: table.whole_or("port", (0, 65_535), 0) as u16,
        ready_within: table.time_or("ready_within", (0.1, 600.0), 15.0),
        kill_after: table.time_or("kill_after", (0.1, 600.0), 5.0),
        more: table.text("more").unwrap_or_default(),
    };
    table.end();
    part
}

fn zones(table: &Table<'_>) -> Vec<String> {
    let mut zones: Vec<String> = Vec::new();
    for (name, at) in table.names("zones") {
        if zones.contains(&name) {
            table.wrong(at, format!("fleet.zones: \"{name}\" stands twice"), "expected each zone once");
        } else if zones.len() == 16 {
            table.wrong(at, "fleet.zones: too many zones", "expected at most 16");
        } else {
            zones.push(name);
        }
    }
    if zones.is_empty() {
        zones.push("east".into());
    }
    zones
}

pub(super) fn backends(table: &Table<'_>) -> BackendsPart {
    let part = BackendsPart {
        count: table.whole_or("count", (1, 200), 20) as usize,
        deduplication_group_size: table.whole_or("bay_size", (1, 200), 2) as usize,
        cores: table.whole_or("cores", (1, 256), 2) as u32,
        speed: table.number_or("speed", (0.01, 100.0), 1.0),
        initial_capacity_fraction: table.number_or("cold_from", (0.0, 1.0), 0.3),
        ramp: table.time_or("ramp", (0.001, 3600.0), 10.0),
        slots: table.whole_or("slots", (1, 100_000), 64) as u32,
        queue: table.whole_or("queue", (0, 100_000), 64) as u32,
        idle: table.time_or("idle", (0.1, 3600.0), 60.0),
        handshake_ms: table.number_or("handshake_ms", (0.0, 60_000.0), 0.0),
        crowded: table.number("crowded", (0.1, 100_000.0)),
        crowded_slower: table.number_or("crowded_slower", (1.0, 100.0), 3.0),
        grace: table.time_or("grace", (0.0, 3600.0), 2.0),
    };
    table.end();
    part
}

pub(super) fn list(table: &Table<'_>) -> ListPart {
    let late = table.time_or("late", (0.0, 600.0), 0.0);
    let push = table.word("mode", &["subscribe", "push"]) == Some("push");
    table.end();
    ListPart { late, push }
}

pub(super) fn load(table: &Table<'_>) -> LoadPart {
    let part = LoadPart {
        requests_per_s: table.number_needed("requests_per_s", (0.1, 20_000.0)),
        connections: table.whole_or("connections", (16, 8_192), 4_096) as usize,
        requests_per_connection: table.number_or("requests_per_connection", (1.0, 1e6), 50.0),
        retries: table.whole_or("retries", (0, 10), 2) as u8,
        longest_retry_after: table.time_or("longest_retry_after", (0.0, 60.0), 1.0),
        pause: table.time_or("pause", (0.001, 60.0), 0.05),
        late_most: table.time_or("late_most", (0.001, 60.0), 0.25),
    };
    table.end();
    part
}

pub(super) fn front(table: &Table<'_>) -> FrontPart {
    let part = FrontPart {
        uneven: table.number_or("uneven", (0.0, 3.0), 0.3),
        own_zone: table.number_or("own_zone", (0.0, 1.0), 1.0),
        check_every: table.time_or("check_every", (0.05, 60.0), 0.5),
        notices_after: table.time_or("notices_after", (0.0, 60.0), 1.0),
    };
    table.end();
    part
}

/// `work_ms`, `work_spread` and the like: a mean and the ratio of deviation to it.
fn law(table: &Table<'_>, mean: &'static str, spread: &'static str, default: (f64, f64)) -> Distribution {
    let mean = table.number_or(mean, (0.0, 60_000.0), default.0);
    let spread = table.number_or(spread, (0.0, 10.0), default.1);
    if spread > 0.0 {
        Distribution::LogNormal(mean, spread)
    } else {
        Distribution::Fixed(mean)
    }
}

pub(super) fn classes(root: &Table<'_>) -> Vec<ClassPart> {
    let tables = root.tables("class");
    if tables.is_empty() {
        root.wrong(0..0, "there is no class", "expected at least one [[class]]");
    }
    let mut seen = BTreeSet::new();
    let mut read = |table: &Table<'_>| {
        let name = table.name_needed("name");
        if !seen.insert(name.clone()) {
            table.wrong_key("name", &format!("\"{name}\" stands twice"), "a name of its own for each class");
        }
        let idempotency = match table.word("effect", &["safe", "keyed", "unsafe"]) {
            Some("keyed") => Idempotency::Keyed,
            Some("unsafe") => Idempotency::NonIdempotent,
            _ => Idempotency::Safe,
        };
        let window = table.time_or("key_window", (0.001, 86_400.0), 1.8);
        if idempotency != Idempotency::Keyed && table.has("key_window") {
            table.wrong_key("key_window", "the class is not keyed", "expected only with effect = \"keyed\"");
        }
        let class = ClassPart {
            name,
            idempotency,
            share: table.number_or("share", ANY, 1.0),
            latency_objective: table.time_or("aim", (0.001, 3600.0), 0.5),
            deadline: table.time_or("deadline", (0.001, 3600.0), 2.0),
            priority_weight: table.number_or("worth", (0.001, 1e6), 1.0),
            key_window: window,
            work_ms: law(table, "work_ms", "work_spread", (8.0, 0.5)),
            io_ms: law(table, "io_ms", "io_spread", (10.0, 0.3)),
            body: table.whole_or("body", (0, 65_536), 256) as usize,
        };
        if class.latency_objective > class.deadline {
            table.wrong_key("aim", "it lies beyond the deadline", "expected at most `deadline`");
        }
        table.end();
        class
    };
    let classes: Vec<ClassPart> = tables.iter().map(&mut read).collect();
    if !classes.is_empty() && classes.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
        root.wrong(tables[0].at.clone(), "no class has a share", "expected a share above 0 in one [[class]]");
    }
    classes
}

pub(super) fn tenants(root: &Table<'_>) -> Vec<TenantPart> {
    let read = |table: &Table<'_>| {
        let tenant = TenantPart {
            name: table.name_needed("name"),
            share: table.number_or("share", (0.001, 1e6), 1.0),
            quota: table.number_needed("quota", (0.001, 1e9)),
        };
        table.end();
        tenant
    };
    root.tables("tenant").iter().map(read).collect()
}
