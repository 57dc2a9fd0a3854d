//! What came of the demo, in tables, and whether all rules held. Pure: from what was written down to a text.

use super::rules::{checked, Rule};
use super::script::Played;
use super::stage::{classes, DEADLINE};
use shaletide_balancer::{halb_shares, Idempotency, Time};
use shaletide_testkit::{ClassResult, End, Ended, LoadResult, Record};
use std::collections::BTreeMap;
use std::fmt::Write;

/// So many cases of a broken rule are named.
const NAMED: usize = 3;

/// What is said, and whether all held.
pub struct Report {
    pub text: String,
    pub holds: bool,
}

/// The tables and the verdict.
pub fn report(played: &Played) -> Report {
    let rules = checked(played);
    let holds = rules.iter().all(|rule| rule.broken.is_empty()) && played.missing.is_empty();
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = shares(&mut text, played);
    let _ = answers(&mut text, played);
    let _ = verdict(&mut text, &rules, played, holds);
    Report { text, holds }
}

/// The backends of a kind and what came to them in a part of the run.
#[derive(Default)]
struct Kind {
    boxes: usize,
    /// Of one of its backends when warm, standard cores.
    power: f64,
    requests: usize,
    served: usize,
    /// Over those served.
    latency_s: f64,
}

impl Kind {
    /// Requests a second that one of its backends can serve, by what a request's work is.
    fn by_work(&self, work_ms: f64) -> f64 {
        1e3 * self.power / work_ms
    }

    /// The same as it shows in latencies: one over the mean, and what comes to one backend.
    fn by_latency(&self, span_s: f64) -> f64 {
        if self.served == 0 {
            return 0.0;
        }
        self.served as f64 / self.latency_s + self.requests as f64 / self.boxes as f64 / span_s
    }
}

fn kinds<'a>(played: &'a Played, part: &[&Record]) -> BTreeMap<&'a str, Kind> {
    let mut kinds: BTreeMap<&str, Kind> = BTreeMap::new();
    for (info, kind) in played.ledger.boxes.iter().zip(&played.kinds) {
        let kind = kinds.entry(kind).or_default();
        kind.boxes += 1;
        kind.power = f64::from(info.power.cores) * info.power.speed;
    }
    for record in part {
        let name = played.kinds.get(record.at_box);
        let Some(kind) = name.and_then(|name| kinds.get_mut(name.as_str())) else { continue };
        kind.requests += 1;
        if let Some((at, Ended::Served)) = record.ended {
            kind.served += 1;
            kind.latency_s += (at - record.began).secs();
        }
    }
    kinds
}

fn shares(text: &mut String, played: &Played) -> std::fmt::Result {
    let Some((from, to)) = played.calm else {
        return writeln!(text, "\nShares by kind: it was told to stop before they were measured");
    };
    let since = |at: Time| (at - played.begun).secs();
    writeln!(text, "\nShares by kind, from {:.1} s to {:.1} s of the run", since(from), since(to))?;
    let part: Vec<&Record> =
        played.ledger.records.iter().filter(|r| r.began >= from && r.began < to).collect();
    let work_ms = part.iter().map(|r| r.work_ms).sum::<f64>() / part.len() as f64;
    if part.is_empty() || work_ms <= 0.0 {
        return writeln!(text, "  no request came to a box then");
    }
    let arrived = played.result.sent.iter().filter(|s| s.arrived >= from && s.arrived < to).count();
    let span_s = (to - from).secs();
    let (kinds, rate) = (kinds(played, &part), arrived as f64 / span_s);
    let formula = |speed: &dyn Fn(&Kind) -> f64| {
        halb_shares(&kinds.values().map(|k| (k.boxes as f64, speed(k))).collect::<Vec<_>>(), Some(rate))
    };
    let (by_latency, by_work) = (formula(&|k| k.by_latency(span_s)), formula(&|k| k.by_work(work_ms)));
    let percent = |share: f64| format!("{:.1} %", 100.0 * share);
    writeln!(text, "  kind  boxes  requests    share    HALB by latencies    HALB by true speeds")?;
    for ((name, kind), (by_latency, by_work)) in kinds.iter().zip(by_latency.into_iter().zip(by_work)) {
        let share = percent(kind.requests as f64 / part.len() as f64);
        write!(text, "  {name:<4}  {:>5}  {:>8}  {share:>7}   ", kind.boxes, kind.requests)?;
        write!(text, "{:>8} ({:5.1}/s)   ", percent(by_latency), kind.by_latency(span_s))?;
        writeln!(text, "{:>10} ({:5.1}/s)", percent(by_work), kind.by_work(work_ms))?;
    }
    for line in [
        format!(
            "HALB: the formula (halb_shares) for the {rate:.1} requests a second that arrived in that part,"
        ),
        "at what one box of a kind can serve (in brackets). By latencies: reckoned as the proxy does,".into(),
        "one over the mean latency and what comes to the box, by the boxes' records of that part. By".into(),
        format!(
            "true speeds: a core's speed over the mean work of a request, {work_ms:.1} ms; the proxy is told"
        ),
        "neither. Latencies flatter a box: the proxy holds no more than four requests at a time on it."
            .into(),
    ] {
        writeln!(text, "  {line}")?;
    }
    Ok(())
}

fn answers(text: &mut String, played: &Played) -> std::fmt::Result {
    let calm = |at: Time| played.calm.is_some_and(|(from, to)| at >= from && at < to);
    let calm = played.result.sent.iter().filter(|s| calm(s.arrived));
    let classes_of = |sent| LoadResult { classes: played.result.classes.clone(), sent, ..Default::default() };
    let calm = classes_of(calm.copied().collect()).by_class();
    writeln!(text, "\nAnswers by class: requests, and the latency of those answered 200, ms")?;
    writeln!(text, "                             in that part      in all the run")?;
    let head = ["class", "", "requests", "p50", "p99", "p50", "p99", "refused", "failed", "late"];
    writeln!(text, "  {}", row(head.map(String::from)))?;
    for ((class, calm), asked) in played.result.by_class().iter().zip(&calm).zip(classes()) {
        let effect = match asked.effect {
            Idempotency::Safe => "safe",
            Idempotency::Keyed(..) => "keyed",
            Idempotency::NonIdempotent => "unsafe",
        };
        let late = played.result.sent.iter().filter(|s| played.result.classes[s.class] == class.name);
        let late = late.filter(|s| matches!(s.end, End::Status(_)) && !s.in_time).count();
        let refused = class.status(503) + class.status(429);
        let failed = class.count - class.status(200) - refused;
        writeln!(
            text,
            "  {}",
            row([
                class.name.clone(),
                effect.into(),
                class.count.to_string(),
                ms(calm, 0.5),
                ms(calm, 0.99),
                ms(class, 0.5),
                ms(class, 0.99),
                refused.to_string(),
                failed.to_string(),
                late.to_string(),
            ])
        )?;
    }
    writeln!(text, "  Refused: 429 or 503, coming again does no harm. Failed: any other end but 200.")?;
    writeln!(text, "  Late: answered when its client's {} s were over.", DEADLINE.as_secs())?;
    if played.result.left_out > 0 {
        let count = played.result.left_out;
        writeln!(
            text,
            "  {count} more were not sent: the machine was behind. Shares and latencies then say little."
        )?;
    }
    Ok(())
}

fn row(cells: [String; 10]) -> String {
    let widths = [6, 6, 8, 8, 7, 10, 7, 9, 7, 5];
    let cell = |(at, (text, width)): (usize, (&String, usize))| match at {
        0 | 1 => format!("{text:<width$} "),
        _ => format!(" {text:>width$}"),
    };
    cells.iter().zip(widths).enumerate().map(cell).collect()
}

fn ms(class: &ClassResult, part: f64) -> String {
    class.latency(part).map_or("-".into(), |latency| format!("{:.1}", latency.secs() * 1e3))
}

fn verdict(text: &mut String, rules: &[Rule], played: &Played, holds: bool) -> std::fmt::Result {
    writeln!(text, "\nThe rules, by what the boxes and the clients wrote down")?;
    for rule in rules {
        let state =
            if rule.broken.is_empty() { "held".into() } else { format!("BROKEN {}x", rule.broken.len()) };
        writeln!(text, "  {:<46} {:<39} {state}", rule.what, rule.looked_at)?;
    }
    for rule in rules.iter().filter(|rule| !rule.broken.is_empty()) {
        writeln!(text, "\n  Broken: {}", rule.what)?;
        for case in rule.broken.iter().take(NAMED) {
            writeln!(text, "    {case}")?;
        }
        if rule.broken.len() > NAMED {
            writeln!(text, "    and {} more", rule.broken.len() - NAMED)?;
        }
    }
    for missing in &played.missing {
        writeln!(text, "  Did not come about: {missing}")?;
    }
    match (holds, played.interrupted) {
        (false, _) => write!(text, "\nNot all held."),
        (true, true) => write!(text, "\nAll held until it was told to stop."),
        (true, false) => write!(text, "\nAll held."),
    }
}

#[cfg(test)]
mod tests {
    use super::super::stage::{GRACE, RAMP, WINDOW};
    use super::super::status;
    use super::*;
    use shaletide_balancer::Micros;
    use shaletide_testkit::checks::Drained;
    use shaletide_testkit::{Boot, BoxInfo, Ledger, Power, Repeat, Sent};

    const SECOND: Micros = Micros(1_000_000);

    /// Two backends in two bays, the second started at 10 s, the first drains at 10 s; and a request of each class.
    fn sound() -> Played {
        let info = |name: &str, bay, at| {
            let power = Power { cores: 1, speed: 1.0, initial_capacity_fraction: 0.3, ramp: RAMP };
            BoxInfo { name: name.into(), bay, power, boots: vec![Boot { at, died: None }] }
        };
        let boxes = vec![info("fast-1", 1, None), info("slow-1", 2, Some(Time(10_000_000)))];
        let classes = ["read", "settle", "pay"].map(String::from).to_vec();
        let mut played = Played {
            ledger: Ledger { boxes, ..Ledger::new(1000) },
            result: LoadResult { classes, ..LoadResult::default() },
            drained: vec![Drained { name: "fast-1".into(), told: Time(10_000_000) }],
            kinds: vec!["fast".into(), "slow".into()],
            begun: Time(1_000_000),
            calm: Some((Time(2_000_000), Time(4_000_000))),
            missing: Vec::new(),
            interrupted: false,
            watched: Some((0, Vec::new())),
        };
        for (number, class) in [0, 1, 2].into_iter().enumerate() {
            asked(&mut played, class, number as u32, End::Status(200));
            ran(&mut played, 0, class, number as u32, Time(3_000_000));
        }
        played
    }

    fn asked(played: &mut Played, class: usize, number: u32, end: End) {
        let (arrived, latency) = (Time(3_000_000), Micros(9_000));
        let in_time = matches!(end, End::Status(_));
        played.result.sent.push(Sent { class, number, arrived, latency, end, in_time, retry: false });
    }

    fn ran(played: &mut Played, at_box: usize, class: usize, number: u32, at: Time) {
        let id = played.result.id(number);
        let record = Record {
            at_box,
            boot: 0,
            key: (class == 1).then(|| format!("k-{id}").into()),
            id: id.into(),
            class: played.result.classes[class].as_str().into(),
            repeat: [Repeat::Safe, Repeat::Keyed, Repeat::Unsafe][class],
            came: at,
            began: at,
            ended: None,
            draining: None,
            work_ms: 16.0,
            time_left: None,
        };
        let place = played.ledger.begin(record).expect("room");
        played.ledger.end(place, at + Micros(8_000), Ended::Served);
    }

    #[test]
    fn a_sound_run_holds_and_ends_with_status_0() {
        let report = report(&sound());
        assert!(report.holds, "{}", report.text);
        assert_eq!((status(&report, false), status(&report, true)), (0, 130));
        assert_eq!(report.text.matches(" held\n").count(), 8, "{}", report.text);
        assert!(report.text.contains("fast      1         3  100.0 %"), "{}", report.text);
    }

    /// What a proxy that breaks a rule would have left behind, rule by rule.
    #[test]
    fn each_rule_that_is_broken_is_named_and_ends_it_with_status_1() {
        let late = Time(10_000_000) + GRACE + Micros(1);
        type Plant = Box<dyn Fn(&mut Played)>;
        let plants: [(&str, Plant); 10] = [
            (
                "The monitors inside saw no rule broken",
                Box::new(|p| p.watched = Some((1, vec!["so".into()]))),
            ),
            ("An unsafe request runs once", Box::new(|p| ran(p, 1, 2, 2, Time(3_100_000)))),
            ("A keyed one runs again in its bay only", Box::new(|p| ran(p, 1, 1, 1, Time(3_100_000)))),
            (
                "A keyed one runs again in its bay only",
                Box::new(|p| ran(p, 0, 1, 1, Time(3_000_001) + WINDOW)),
            ),
            ("Nothing new to a box 2 s after it drains", Box::new(move |p| ran(p, 0, 0, 0, late))),
            (
                "A cold box is not pushed over",
                Box::new(|p| (0..200).for_each(|_| ran(p, 1, 0, 0, Time(10_000_000) + SECOND))),
            ),
            ("Each request gets one answer within its time", Box::new(|p| asked(p, 2, 9, End::GaveUp))),
            ("Each request gets one answer within its time", Box::new(|p| p.result.overfull = 1)),
            ("Each 200 is a box's answer to that request", Box::new(|p| asked(p, 0, 9, End::Status(200)))),
            ("All was written down", Box::new(|p| p.ledger.missed = 1)),
        ];
        for (rule, plant) in plants {
            let mut played = sound();
            plant(&mut played);
            let report = report(&played);
            let row = report.text.lines().find(|line| line.contains(rule)).expect("the rule's row");
            assert!(row.contains("BROKEN"), "{}", report.text);
            assert!(report.text.contains(&format!("Broken: {rule}")), "{}", report.text);
            assert_eq!(report.text.matches("BROKEN").count(), 1, "{rule}: {}", report.text);
            assert_eq!((status(&report, false), status(&report, true)), (1, 1));
        }
    }

    #[test]
    fn what_did_not_come_about_and_a_run_without_shares_are_said() {
        let played = Played { missing: vec!["the drain".into()], calm: None, interrupted: true, ..sound() };
        let report = report(&played);
        assert!(!report.holds && report.text.contains("Did not come about: the drain"), "{}", report.text);
        assert!(report.text.contains("told to stop before they were measured"), "{}", report.text);
    }

    #[test]
    fn lines_fit_a_hundred_columns() {
        let mut played = sound();
        (0..99_999).for_each(|n| asked(&mut played, 0, n + 9, End::Status(503)));
        ran(&mut played, 1, 2, 2, Time(3_100_000));
        let report = report(&played);
        assert!(report.text.lines().all(|line| line.chars().count() <= 100), "{}", report.text);
    }
}
