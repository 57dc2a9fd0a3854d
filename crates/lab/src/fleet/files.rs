//! The configuration file of each proxy. Pure.

use crate::experiment::{ClassPart, Experiment};
use crate::samples::Idempotency;
use shaletide_testkit::SeededRng;
use std::fmt::Write;
use std::net::SocketAddr;

/// The settings that differ between the proxies' files.
#[derive(Clone, Copy, Debug)]
pub struct ProxySettings {
    /// The proxy's number.
    pub proxy: usize,
    /// Its listen address.
    pub listens: SocketAddr,
    /// The address of its list service.
    pub list: SocketAddr,
    /// The run's seed.
    pub seed: u64,
}

/// The text of a proxy's file, with `more` appended. Sections that `more` contains are left out of the rest.
pub fn operator(experiment: &Experiment, settings: ProxySettings, more: &str) -> String {
    let mut text = String::new();
    let seed = SeededRng::named(settings.seed, &format!("p{}", settings.proxy)).next_u64();
    let zone = &experiment.fleet.zones[experiment.zone_of_proxy(settings.proxy)];
    let _ = write!(
        text,
        "[proxy]\nname = \"p{}\"\nzone = \"{zone}\"\nproxies = {}\nposition = {}\nseed = \"{seed:016x}\"\n\n\
         [[listener]]\naddress = \"{}\"\n\n",
        settings.proxy, experiment.fleet.proxies, settings.proxy, settings.listens
    );
    let absent = |section: &str| !more.lines().any(|line| line.trim() == section);
    if absent("[limits]") {
        let _ = write!(text, "[limits]\ndescriptors = {}\n\n", experiment.fleet.descriptors);
    }
    if absent("[rules]") {
        let (cold, ramp) =
            (experiment.backends.initial_capacity_fraction, experiment.backends.ramp.as_micros());
        let _ = write!(text, "[rules]\ncold_from = {cold:?}\nramp = \"{ramp}us\"\n\n");
    }
    if absent("[answers]") {
        text += "[answers]\nserved = [\"200-299\", 404]\nnever_ran = [\n  { status = 503, header = \"X-Unprocessed\", value = \"1\" },\n  \
                 { status = 504, header = \"X-Unprocessed\", value = \"1\" },\n]\n\n";
    }
    experiment.classes.iter().for_each(|c| text += &class(c));
    for tenant in &experiment.tenants {
        let _ = write!(text, "[[tenant]]\nname = \"{}\"\nquota = {:?}\n\n", tenant.name, tenant.quota);
    }
    if absent("[[pool]]") {
        let mode = if experiment.list.push { "push" } else { "subscribe" };
        let at = settings.list;
        let _ =
            write!(text, "[[pool]]\nname = \"boxes\"\ndiscovery = \"{at}\"\ndiscovery_mode = \"{mode}\"\n\n");
    }
    let more = more.replace("@LIST@", &settings.list.to_string());
    text + &more
}

fn class(class: &ClassPart) -> String {
    let (name, idempotency) = (&class.name, class.idempotency);
    let word = match idempotency {
        Idempotency::Safe => "safe",
        Idempotency::Keyed => "keyed",
        Idempotency::NonIdempotent => "unsafe",
    };
    let mut text = format!(
        "[[class]]\nname = \"{name}\"\neffect = \"{word}\"\naim = \"{}us\"\ndeadline = \"{}us\"\nworth = {:?}\n",
        class.latency_objective.as_micros(),
        class.deadline.as_micros(),
        class.priority_weight
    );
    if idempotency == Idempotency::Keyed {
        let _ = writeln!(text, "key_scope = \"bay\"\nkey_window = \"{}us\"", class.key_window.as_micros());
    }
    text + "\n"
}
