//! The pages about the record: the configuration works as pasted, and what the commands say is what the program says.

mod record_fixture;

use record_fixture::*;
use shaletide_control::{Command, ControlServer, Reply};
use shaletide_record::{Event, Fact, KeyId, ResolveResult};
use shaletide_types::Time;
use std::process::Command as Program;

const FINANCE: &str = include_str!("../../../docs/record-finance.md");
const OPERATORS: &str = include_str!("../../../docs/record.md");

/// The first block of a page in that language.
fn block<'p>(page: &'p str, language: &str) -> &'p str {
    page.split(&format!("```{language}\n")).nth(1).unwrap().split("```").next().unwrap()
}

#[test]
fn configuration_on_the_record_page_is_valid() {
    let folder = Folder::new();
    std::fs::write(folder.0.join("operator.toml"), block(OPERATORS, "toml")).unwrap();
    let mut check = Program::new(env!("CARGO_BIN_EXE_shaletide"));
    let output = check.args(["check", "operator.toml"]).current_dir(&folder.0).output().unwrap();
    let said = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success() && said.contains("valid: "), "{output:?}");
}

/// The morning of the dispute, up to the time when somebody asks.
fn morning(folder: &Folder) -> RecordedStore {
    let mut recorded = RecordedStore::open(&folder.db(), Time(MORNING.0 - 60_000 * MS));
    recorded.now = MORNING;
    recorded.leave_in_doubt("milford", b"sale-0417");
    recorded.advance_ms(2_000);
    recorded.begin_request("milford", "settle", b"sale-0417");
    recorded.advance_ms(400);
    recorded.serve_request("harwich", b"sale-2210");
    recorded
}

/// The running proxy's side of the commands, at fixed times.
fn serve(folder: &Folder, mut recorded: RecordedStore) -> impl FnOnce() {
    let (end, ended) = tokio::sync::oneshot::channel::<()>();
    let (ready, is_ready) = std::sync::mpsc::channel();
    let path = folder.0.join("control.sock");
    recorded.now = Time(MORNING.0 + 3 * 3_600_000 * MS);
    let thread = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async move {
            let control = ControlServer::bind(&path).unwrap();
            ready.send(()).unwrap();
            let recorded = std::cell::RefCell::new(recorded);
            tokio::select! {
                () = control.serve(move |command| std::future::ready(carry_out(&mut recorded.borrow_mut(), command))) => {}
                _ = ended => {}
            }
        });
    });
    is_ready.recv().unwrap();
    move || {
        drop(end);
        thread.join().unwrap();
    }
}

fn carry_out(recorded: &mut RecordedStore, command: Command) -> Reply {
    recorded.advance_ms(90_000);
    match command {
        Command::Resolve { tenant, class, key, ran, by, note } => {
            let came = recorded.resolve(KeyId { tenant, class, key: key.0 }, ran, &by, &note);
            assert_eq!((came, ran), (ResolveResult::Done, true));
            Reply::Done("on record; the key counts as served".into())
        }
        Command::Correct { of, by, text } => {
            recorded.handle_event(Event::RecordFact(Fact::Correction { of, by, text }));
            Reply::Done(format!("on record; row {of} stays as it is"))
        }
        other => Reply::Senseless(format!("{other:?}")),
    }
}

/// The page with each command's output as the program gives it.
fn regenerated(folder: &Folder, page: &str) -> String {
    let mut made = String::new();
    let mut head = String::new();
    for (number, part) in page.split("```").enumerate() {
        if number > 0 {
            made += "```";
        }
        let Some(block) = part.strip_prefix("console\n").filter(|_| number % 2 == 1) else {
            made += part;
            continue;
        };
        let shown = block.lines().next().unwrap().strip_prefix("$ ").unwrap();
        // The head that the first `verify` gave.
        let line = match shown.split_once("--head ") {
            Some((before, after)) => {
                let rest = after.split_once(' ').map_or("", |(_, rest)| rest);
                format!("{before}--head {head} {rest}")
            }
            None => shown.to_string(),
        };
        let program = std::path::Path::new(env!("CARGO_BIN_EXE_shaletide"));
        let path = format!("{}:{}", program.parent().unwrap().display(), std::env::var("PATH").unwrap());
        let mut shell = Program::new("sh");
        shell.args(["-c", &line]).current_dir(&folder.0).env("PATH", path).env("TZ", "UTC");
        let output = shell.output().unwrap();
        let said = String::from_utf8(output.stdout).unwrap().replace("\r\n", "\n");
        assert!(output.status.success(), "{line}\n{said}{}", String::from_utf8_lossy(&output.stderr));
        if let Some(found) =
            said.lines().find_map(|line| line.strip_prefix("head ")).filter(|_| head.is_empty())
        {
            head = found.to_string();
        }
        made += &format!("console\n$ {line}\n{said}");
    }
    made
}

#[test]
fn dispute_on_the_finance_page_is_the_programs_output() {
    let folder = Folder::new();
    std::fs::write(folder.0.join("operator.toml"), block(OPERATORS, "toml")).unwrap();
    let end = serve(&folder, morning(&folder));
    let made = regenerated(&folder, FINANCE);
    end();
    if std::env::var_os("SHALETIDE_WRITE_PAGES").is_some() {
        std::fs::write(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/record-finance.md"), made).unwrap();
        return;
    }
    assert!(made == FINANCE, "docs/record-finance.md is not what the program says:\n{made}");
}
