//! The pages about the record: their configuration is valid as pasted, and their command output is the program's.

mod record_fixture;

use record_fixture::*;
use shaletide_control::{Command, ControlServer, Reply};
use shaletide_record::{Event, Fact, KeyId, ResolveResult};
use shaletide_types::Time;
use std::process::Command as Program;

const FINANCE: &str = include_str!("../../../docs/record-finance.md");
const OPERATORS: &str = include_str!("../../../docs/record.md");

/// Returns the first code block of a page in this language.
fn block<'p>(page: &'p str, language: &str) -> &'p str {
    page.split(&format!("```{language}\n")).nth(1).unwrap().split("```").next().unwrap()
}

#[test]
fn configuration_on_the_record_page_is_valid() {
    let folder = Folder::new();
    std::fs::write(folder.0.join("operator.toml"), block(OPERATORS, "toml")).unwrap();
    let mut check = Program::new(env!("CARGO_BIN_EXE_shaletide"));
    let output = check.args(["check", "operator.toml"]).current_dir(&folder.0).output().unwrap();
    let output_text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success() && output_text.contains("valid: "), "{output:?}");
}

/// Records the sample data of the dispute, up to the time of the query.
fn dispute_record(folder: &Folder) -> RecordedStore {
    let mut recorded = RecordedStore::open(&folder.db(), Time(MORNING.0 - 60_000 * MS));
    recorded.now = MORNING;
    recorded.leave_in_doubt("milford", b"sale-0417");
    recorded.advance_ms(2_000);
    recorded.begin_request("milford", "settle", b"sale-0417");
    recorded.advance_ms(400);
    recorded.serve_request("harwich", b"sale-2210");
    recorded
}

/// Serves the control socket as the running proxy does, at fixed times. Returns a function that ends the service.
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
                () = control.serve(move |command| std::future::ready(execute(&mut recorded.borrow_mut(), command))) => {}
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

fn execute(recorded: &mut RecordedStore, command: Command) -> Reply {
    recorded.advance_ms(90_000);
    match command {
        Command::Resolve { tenant, class, key, ran, by, note } => {
            let result = recorded.resolve(KeyId { tenant, class, key: key.0 }, ran, &by, &note);
            assert_eq!((result, ran), (ResolveResult::Done, true));
            Reply::Done("on record; the key counts as served".into())
        }
        Command::Correct { of, by, text } => {
            recorded.handle_event(Event::RecordFact(Fact::Correction { of, by, text }));
            Reply::Done(format!("on record; row {of} stays as it is"))
        }
        other => Reply::Senseless(format!("{other:?}")),
    }
}

/// Returns the page with the program's output for each command.
fn regenerate(folder: &Folder, page: &str) -> String {
    let mut regenerated_page = String::new();
    let mut head = String::new();
    for (number, part) in page.split("```").enumerate() {
        if number > 0 {
            regenerated_page += "```";
        }
        let Some(block) = part.strip_prefix("console\n").filter(|_| number % 2 == 1) else {
            regenerated_page += part;
            continue;
        };
        let shown = block.lines().next().unwrap().strip_prefix("$ ").unwrap();
        // Uses the head that the first `verify` printed.
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
        let output_text = String::from_utf8(output.stdout).unwrap().replace("\r\n", "\n");
        assert!(output.status.success(), "{line}\n{output_text}{}", String::from_utf8_lossy(&output.stderr));
        if let Some(found) =
            output_text.lines().find_map(|line| line.strip_prefix("head ")).filter(|_| head.is_empty())
        {
            head = found.to_string();
        }
        regenerated_page += &format!("console\n$ {line}\n{output_text}");
    }
    regenerated_page
}

#[test]
fn dispute_on_the_finance_page_is_the_programs_output() {
    let folder = Folder::new();
    std::fs::write(folder.0.join("operator.toml"), block(OPERATORS, "toml")).unwrap();
    let end = serve(&folder, dispute_record(&folder));
    let regenerated_page = regenerate(&folder, FINANCE);
    end();
    if std::env::var_os("SHALETIDE_WRITE_PAGES").is_some() {
        std::fs::write(
            concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/record-finance.md"),
            regenerated_page,
        )
        .unwrap();
        return;
    }
    assert!(
        regenerated_page == FINANCE,
        "docs/record-finance.md differs from the program's output:\n{regenerated_page}"
    );
}
