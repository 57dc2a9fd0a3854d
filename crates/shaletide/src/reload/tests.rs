//! Tests of `reload` that need its private items.

use super::*;
use std::sync::mpsc as blocking;
use std::sync::Mutex;

type Outcome = Result<&'static str, &'static str>;

/// A reading that waits for what comes of it: the name of a proxy, or what is wrong.
type PendingRead = blocking::Sender<Outcome>;

fn setup(name: &str) -> Setup {
    let text = format!(
        "[proxy]\nname = \"{name}\"\n[[listener]]\naddress = \"127.0.0.1:80\"\n[[class]]\nname = \"a\"\n\
         [[pool]]\nname = \"p\"\nboxes = [\"127.0.0.1:1\"]\n"
    );
    let operator = shaletide_config::operator::read("test.toml", &text).expect("a sound file");
    Setup::from_file(operator, String::new())
}

/// A reader whose readings wait for the test, and the readings in the order in which they began.
fn reader() -> (Reader, Arc<Setup>, blocking::Receiver<PendingRead>) {
    let (tell, begun) = blocking::channel();
    let tell = Mutex::new(tell);
    let again = move |_: &Setup| -> Result<Setup, String> {
        let (came, wait) = blocking::channel::<Outcome>();
        tell.lock().unwrap().send(came).unwrap();
        match wait.recv() {
            Ok(Ok(name)) => Ok(setup(name)),
            Ok(Err(why)) => Err(why.to_string()),
            Err(_) => panic!("planned"),
        }
    };
    (Reader::new(Arc::new(again)), Arc::new(setup("running")), begun)
}

fn with_runtime<T>(work: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { tokio::time::timeout(Duration::from_secs(20), work).await }).expect("an end")
}

/// The next reading that is over, taken: who asked for it, and its proxy's name or what is wrong.
async fn next_result(reader: &mut Reader, running: &Arc<Setup>) -> (Instant, Result<String, String>) {
    let ReadResult { number, requested_at, result } = reader.next(running).await;
    let result = result.map(|setup| setup.operator.proxy.name);
    reader.finish(number, requested_at, result.clone().map(drop));
    (requested_at, result)
}

#[test]
fn invalid_file_is_read_again_without_another_signal() {
    with_runtime(async {
        let (mut reader, running, begun) = reader();
        reader.hangup(&running);
        let files: [Outcome; 3] = [Err("empty"), Err("half"), Ok("whole")];
        let script = std::thread::spawn(move || {
            files.iter().for_each(|came| begun.recv().unwrap().send(*came).unwrap());
            begun
        });
        let mut asked = Vec::new();
        for came in files {
            let (since, read) = next_result(&mut reader, &running).await;
            assert_eq!(read.is_ok(), came.is_ok(), "{read:?}");
            asked.push(since);
        }
        let _begun = script.join().unwrap();
        assert!(asked.iter().all(|since| *since == asked[0]), "all of it counts from the signal");
        assert!(reader.next_retry.is_none());
    });
}

#[test]
fn invalid_file_is_given_up_after_six_readings() {
    with_runtime(async {
        let (mut reader, running, begun) = reader();
        reader.hangup(&running);
        let script = std::thread::spawn(move || {
            // The reader itself fails: as bad as a file that does.
            (0..=RETRY_PAUSES_MS.len()).for_each(|_| drop::<PendingRead>(begun.recv().unwrap()));
            begun
        });
        for _ in 0..=RETRY_PAUSES_MS.len() {
            assert!(next_result(&mut reader, &running).await.1.is_err());
        }
        let begun = script.join().unwrap();
        assert!(reader.next_retry.is_none() && begun.try_recv().is_err());
        assert!(RETRY_PAUSES_MS.iter().sum::<u64>() < 2000, "what a new discovery has counts after 4 s");
    });
}

#[test]
fn later_sighup_restarts_retries_and_keeps_the_first_request_time() {
    with_runtime(async {
        let (mut reader, running, begun) = reader();
        reader.hangup(&running);
        begun.recv().unwrap().send(Err("half")).unwrap();
        let first = next_result(&mut reader, &running).await.0;
        assert_eq!(reader.retries, 1);
        reader.hangup(&running);
        assert_eq!((reader.retries, reader.next_retry), (0, None), "at once, with all the pauses before it");
        begun.recv().unwrap().send(Ok("whole")).unwrap();
        assert_eq!(next_result(&mut reader, &running).await, (first, Ok("whole".into())));
        reader.hangup(&running);
        begun.recv().unwrap().send(Ok("later")).unwrap();
        assert!(next_result(&mut reader, &running).await.0 > first);
    });
}

#[test]
fn sighup_is_handled_while_earlier_readings_hang() {
    with_runtime(async {
        let (mut reader, running, begun) = reader();
        reader.hangup(&running);
        let hangs = begun.recv().unwrap();
        reader.hangup(&running);
        begun.recv().unwrap().send(Ok("second")).unwrap();
        assert_eq!(next_result(&mut reader, &running).await.1, Ok("second".into()));
        reader.hangup(&running);
        let third = begun.recv().unwrap();
        hangs.send(Ok("first")).unwrap();
        third.send(Ok("third")).unwrap();
        assert_eq!(next_result(&mut reader, &running).await.1, Ok("third".into()), "and not the first");
    });
}

#[test]
fn concurrent_readings_are_bounded() {
    with_runtime(async {
        let (mut reader, running, begun) = reader();
        let mut hang = Vec::new();
        for _ in 0..MAX_CONCURRENT_READS {
            reader.hangup(&running);
            hang.push(begun.recv().unwrap());
        }
        reader.hangup(&running);
        reader.hangup(&running);
        assert_eq!(reader.reads_in_progress, MAX_CONCURRENT_READS);
        assert!(begun.try_recv().is_err());
        hang.remove(1).send(Err("old")).unwrap();
        assert!(next_result(&mut reader, &running).await.1.is_err());
        begun.recv().unwrap().send(Ok("last")).unwrap();
        assert_eq!(next_result(&mut reader, &running).await.1, Ok("last".into()));
        assert!(reader.next_retry.is_none() && begun.try_recv().is_err(), "two that waited are one reading");
    });
}
