//! Starting the lab, and looking at what it left.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Mutex, MutexGuard, Once, PoisonError};

/// A run that found the machine too busy is tried so often.
const TRIES: usize = 4;

/// The lab's own program.
pub const LAB: &str = env!("CARGO_BIN_EXE_shaletide-lab");

/// One test at a time.
pub fn turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The program beside the lab's.
pub fn program() -> PathBuf {
    static BUILT: Once = Once::new();
    let path = Path::new(LAB).with_file_name("shaletide");
    BUILT.call_once(|| {
        if !path.is_file() {
            let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
            cargo.args(["build", "--locked", "--package", "shaletide", "--bin", "shaletide"]);
            if LAB.contains("/release/") {
                cargo.arg("--release");
            }
            assert!(cargo.status().expect("cargo").success());
        }
    });
    path
}

/// A file or folder that is removed when this is dropped.
pub struct Temporary(PathBuf);

impl Temporary {
    pub fn path(&self) -> &Path {
        &self.0
    }

    pub fn text(&self) -> String {
        self.0.display().to_string()
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
        let _ = std::fs::remove_file(&self.0);
    }
}

pub fn folder(name: &str) -> Temporary {
    Temporary(std::env::temp_dir().join(format!("lab-test-{}-{name}", std::process::id())))
}

pub fn written(name: &str, text: &str) -> Temporary {
    let path = folder(&format!("{name}.toml"));
    std::fs::write(path.path(), text).expect("a file");
    path
}

/// A small experiment that lasts so many seconds.
pub fn file(length_s: u32, steps: &str, expected: &str) -> String {
    format!(
        "name = \"small\"\nlength = \"{length_s}s\"\n[fleet]\nproxies = 3\nkill_after = \"500ms\"\n\
         [boxes]\ncount = 4\n[load]\nrequests_per_s = 40\nrequests_per_connection = 3\n[front]\ncheck_every = \"200ms\"\n\
         notices_after = \"300ms\"\n[[class]]\nname = \"read\"\n[[class]]\nname = \"pay\"\neffect = \"unsafe\"\n\
         share = 0.5\n{steps}{expected}"
    )
}

pub fn expect(metric: &str, bound: &str) -> String {
    format!("[[expect]]\nmetric = \"{metric}\"\n{bound}\n")
}

/// What a run of the lab came to.
pub struct Ran {
    pub status: i32,
    /// Both outputs.
    pub said: String,
}

impl Ran {
    pub fn samples(&self, out: &Temporary) -> Vec<Value> {
        let text = std::fs::read_to_string(out.path().join("samples.jsonl")).expect("samples");
        text.lines().map(|line| serde_json::from_str(line).expect("a sample")).collect()
    }

    /// Whether nothing but the machine was to blame.
    fn too_busy(&self) -> bool {
        self.status == 3 && (self.said.contains("late in") || self.said.contains("processor"))
    }
}

pub fn lab(arguments: &[&str]) -> Ran {
    let done = Command::new(LAB).args(arguments).stdin(Stdio::null()).output().expect("the lab");
    let said = [done.stdout, done.stderr].map(|out| String::from_utf8_lossy(&out).into_owned()).concat();
    Ran { status: done.status.code().unwrap_or(-1), said }
}

/// Runs an experiment, again where the machine was too busy.
pub fn run(name: &str, text: &str, more: &[&str]) -> Ran {
    let (path, program) = (written(name, text), program().display().to_string());
    let file = path.text();
    let arguments = [&["run", &file, "--quiet", "--program", &program], more].concat();
    let mut ran = lab(&arguments);
    for _ in 1..TRIES {
        if !ran.too_busy() {
            break;
        }
        ran = lab(&arguments);
    }
    ran
}

/// The samples of a type.
pub fn of<'a>(samples: &'a [Value], kind: &'a str) -> impl Iterator<Item = &'a Value> {
    samples.iter().filter(move |s| s["type"] == kind)
}

/// What happened to a proxy's process, in order.
pub fn events(samples: &[Value], proxy: u64) -> Vec<String> {
    let own = of(samples, "process").filter(|s| s["proxy"] == proxy);
    let name = |what: &Value| match what {
        Value::String(name) => name.clone(),
        other => other.as_object().and_then(|o| o.keys().next().cloned()).unwrap_or_default(),
    };
    own.map(|s| name(&s["what"])).collect()
}
