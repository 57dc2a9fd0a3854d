//! Case 2: boxes that drain get new requests for seconds after the grace. See claim.txt.

#[path = "../rig/load.rs"]
mod load;
#[path = "../rig/mod.rs"]
mod rig;

use load::{draw, Client};
use rig::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROXIES: usize = 2;
const BOXES: usize = 12;
/// A quarter of the boxes begins to drain.
const DRAINED: [usize; 3] = [1, 4, 7];
const CLIENTS: u64 = 60;
/// The grace of the settings, and the 50 ms that each limit of time is longer on sockets.
const GRACE_MS: f64 = 2050.0;
/// For what a stand-in takes to read a request.
const READING_MS: f64 = 50.0;
/// The time for which the new discovery is down.
const OUTAGE: Duration = Duration::from_secs(4);

fn main() {
    let record = Record::new();
    let sent = Arc::new(Mutex::new(Vec::<(f64, usize, String)>::new()));
    let mut endpoints = Vec::new();
    for number in 0..BOXES {
        let (sent, boxes_record) = (sent.clone(), record.clone());
        let rng = Mutex::new(Rng(100 + number as u64));
        let address = serve(Duration::from_secs(10), move |request, connection| {
            let at = boxes_record.add(format!("s-{number} gets {} {}", request.path, request.id()));
            sent.lock().unwrap().push((at, number, request.path.clone()));
            let work = 0.02 + 0.03 * rng.lock().unwrap().unit();
            thread::sleep(Duration::from_secs_f64(work));
            connection.write(&ok(&format!("answer to {}", request.id()))).is_ok()
        });
        let kind = if number % 2 == 0 { "new-box" } else { "old-box" };
        endpoints.push(Endpoint::new(&format!("s-{number}"), address, kind, number as u32 / 6));
    }
    let drain = |endpoints: &mut Vec<Endpoint>| DRAINED.iter().for_each(|n| endpoints[*n].status = "DRAINING".into());
    let mut drained = endpoints.clone();
    drain(&mut drained);
    let old = Agent::start(41, endpoints.clone(), record.clone());
    let new = Agent::start(7, drained, record.clone());
    let known = list_json(41, &endpoints);
    let mut proxies: Vec<Proxy> = (0..PROXIES)
        .map(|n| Proxy::start(&format!("n{n}"), old.address, &known, &settings(PROXIES, n)))
        .collect();

    let until = Instant::now() + Duration::from_secs(16);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let to = proxies[number as usize % PROXIES].listen;
            let record = record.clone();
            thread::spawn(move || {
                let mut rng = Rng(1000 + number);
                let mut client = Client::new(to);
                while Instant::now() < until {
                    thread::sleep(rng.pause(0.15));
                    let ask = draw(&mut rng);
                    record.add(format!("client {number}: asks {} {}", ask.class, ask.id));
                    let result = match client.ask(&ask) {
                        Ok(answer) => answer.status.to_string(),
                        Err(error) => error.to_string(),
                    };
                    record.add(format!("client {number}: {} {} got {result}", ask.class, ask.id));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    if trouble() {
        record.say("the open watches fall silent; new calls are answered");
        old.silence_watches();
        new.set_silent(true);
    }
    thread::sleep(Duration::from_millis(20));
    old.change(drain);
    let told = record.now_ms();
    record.say(format!("{told:.0} ms: the agent has that the boxes {DRAINED:?} drain, which counts as told"));
    thread::sleep(Duration::from_millis(300));
    record.say(format!("{:.0} ms: SIGHUP, with a new configuration that names another discovery", record.now_ms()));
    for (number, proxy) in proxies.iter_mut().enumerate() {
        proxy.move_discovery(new.address, &known, &settings(PROXIES, number));
    }
    thread::sleep(OUTAGE);
    new.set_silent(false);
    record.say(format!("{:.0} ms: the new discovery answers calls", record.now_ms()));
    clients.into_iter().for_each(|client| client.join().unwrap());
    let ended: Vec<String> = proxies.iter_mut().filter_map(Proxy::has_ended).collect();

    let sent = sent.lock().unwrap();
    let to_drained = || sent.iter().filter(|(at, number, _)| DRAINED.contains(number) && *at > told);
    let late: Vec<_> = to_drained().filter(|(at, ..)| *at > told + GRACE_MS + READING_MS).collect();
    for (at, number, path) in late.iter().take(5) {
        record.say(format!("BROKEN: {path} begins at s-{number} {:.0} ms after it was told to drain", at - told));
    }
    let last = to_drained().map(|(at, ..)| at - told).fold(0.0, f64::max);
    record.say(format!(
        "requests {}; sent to draining boxes later than the grace {}, the last {last:.0} ms after it was told; proxies ended \
         {ended:?}",
        sent.len(),
        late.len(),
    ));
    record.save("record.txt");
    drop(proxies);
    if !sent.iter().any(|(at, number, _)| DRAINED.contains(number) && *at < told) {
        std::process::exit(2); // nothing was played
    }
    std::process::exit(if late.is_empty() { 0 } else { 1 });
}
