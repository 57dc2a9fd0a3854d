//! Case 3: whole answers with no length are thrown away. See claim.txt.

#[path = "../rig/load.rs"]
mod load;
#[path = "../rig/mod.rs"]
mod rig;

use load::{draw, Client};
use rig::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROXIES: usize = 2;
const BOXES: usize = 10;
const CLIENTS: u64 = 60;
const PLAYED: Duration = Duration::from_secs(40);
/// The share of answers with no length: they end as the box closes the connection, in order and at once.
const WITHOUT_LENGTH: f64 = 0.1;

fn main() {
    let record = Record::new();
    // The settles whose box has answered 200 with no length, whole and in time.
    let without_length = Arc::new(Mutex::new(BTreeSet::<String>::new()));
    let mut endpoints = Vec::new();
    for number in 0..BOXES {
        let (rng, boxes_record) = (Mutex::new(Rng(100 + number as u64)), record.clone());
        let without_length = without_length.clone();
        let address = serve(Duration::from_secs(10), move |request, connection| {
            let (work, has_length) = {
                let mut rng = rng.lock().unwrap();
                (0.02 + 0.03 * rng.unit(), rng.unit() >= WITHOUT_LENGTH || !trouble())
            };
            let id = request.id();
            boxes_record.add(format!("s-{number} runs {id} of {}", request.path));
            thread::sleep(Duration::from_secs_f64(work));
            let body = format!("answer to {id}");
            if has_length {
                return connection.write(&ok(&body)).is_ok();
            }
            // The client reads all of it and then the end of the connection: no reset, nothing is unread here.
            let answer = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}");
            if connection.write(answer.as_bytes()).is_ok() {
                boxes_record.add(format!("s-{number} has answered {id} with no length, and closes"));
                if request.path.starts_with("/settle/") {
                    without_length.lock().unwrap().insert(id.to_string());
                }
            }
            false
        });
        let kind = if number % 2 == 0 { "new-box" } else { "old-box" };
        endpoints.push(Endpoint::new(&format!("s-{number}"), address, kind, number as u32 / 5));
    }
    let agent = Agent::start(41, endpoints.clone(), record.clone());
    let known = list_json(41, &endpoints);
    let mut proxies: Vec<Proxy> = (0..PROXIES)
        .map(|n| Proxy::start(&format!("n{n}"), agent.address, &known, &settings(PROXIES, n)))
        .collect();

    let until = Instant::now() + PLAYED;
    // The settles' answers by id: status and body.
    let settles = Arc::new(Mutex::new(BTreeMap::<String, (u16, String)>::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let to = proxies[number as usize % PROXIES].listen;
            let (record, settles) = (record.clone(), settles.clone());
            thread::spawn(move || {
                let mut rng = Rng(1000 + number);
                let mut client = Client::new(to);
                while Instant::now() < until {
                    thread::sleep(rng.pause(0.15));
                    let ask = draw(&mut rng);
                    record.add(format!("client {number}: asks {} {}", ask.class, ask.id));
                    let (status, body) = match client.ask(&ask) {
                        Ok(answer) => (answer.status, String::from_utf8_lossy(&answer.body).trim().to_string()),
                        Err(error) => (0, error.to_string()),
                    };
                    record.add(format!("client {number}: {} {} got {status} {body}", ask.class, ask.id));
                    if ask.class == "settle" {
                        settles.lock().unwrap().insert(ask.id, (status, body));
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    let ended: Vec<String> = proxies.iter_mut().filter_map(Proxy::has_ended).collect();
    let (without_length, settles) = (without_length.lock().unwrap(), settles.lock().unwrap());
    let mut forwarded = 0;
    let mut statuses = BTreeMap::<u16, u64>::new();
    for id in without_length.iter() {
        let Some((status, body)) = settles.get(id) else { continue };
        *statuses.entry(*status).or_default() += 1;
        if *status == 200 && *body == format!("answer to {id}") {
            forwarded += 1;
        }
    }
    let others_served = settles.iter().filter(|(id, (status, _))| !without_length.contains(*id) && *status == 200).count();
    let broken = forwarded * 2 < without_length.len();
    record.say(format!(
        "settles {}; answered whole by their box with no length {}, of which forwarded {forwarded}, and their clients got \
         {statuses:?}; other settles served {others_served}; proxies ended {ended:?}",
        settles.len(),
        without_length.len(),
    ));
    if broken {
        record.say(format!("BROKEN: {forwarded} of {} is under a half", without_length.len()));
    }
    record.save("record.txt");
    drop(proxies);
    if others_served == 0 || trouble() && without_length.is_empty() {
        std::process::exit(2); // nothing was played
    }
    std::process::exit(if broken { 1 } else { 0 });
}
