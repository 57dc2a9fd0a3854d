//! All balancers of this process, and the endpoint lists that messages refer to.

use crate::error::WireError;
use crate::instance::{Instance, Lists};
use crate::line::Line;
use crate::list_entry::read_entry;
use crate::messages::{reply, Message};
use serde_json::{json, Value};
use shaletide_balancer::Time;
use std::collections::HashMap;
use std::io::Write;

/// Largest number of a list.
const MAX_LIST_NUMBER: u64 = 15;

/// What the caller has to do after a line has been handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Read the next line.
    BatchContinues,
    /// Send the replies.
    BatchDone,
}

#[derive(Default)]
pub struct Simulation {
    /// By name; `None` where the settings were rejected, which has been reported in a reply.
    instances: HashMap<String, Option<Instance>>,
    lists: Lists,
    /// `None` outside of a batch.
    now: Option<Time>,
}

impl Simulation {
    /// Handles one line and appends the replies to `replies`.
    ///
    /// # Errors
    /// The line is malformed, or refers to an unknown instance, list or name.
    pub fn handle(&mut self, line: &str, replies: &mut Vec<u8>) -> Result<Progress, WireError> {
        let line: Value = serde_json::from_str(line).map_err(WireError::NotJson)?;
        let line = Line::new(&line)?;
        if line.message == Message::BatchBegins {
            self.now = Some(Time(line.integer(0, "the clock in microseconds")?));
            return Ok(Progress::BatchContinues);
        }
        let now = self.now.ok_or_else(|| line.outside_batch())?;
        match line.message {
            Message::BatchEnds => {
                self.now = None;
                write_line(replies, &json!([reply::BATCH_DONE]));
                return Ok(Progress::BatchDone);
            }
            Message::ListRows => self.store_list(&line)?,
            Message::Create => self.create(&line, replies)?,
            Message::Killed => {
                let name = instance_name(&line)?;
                self.instances.remove(name).ok_or_else(|| line.error(0, "a known instance"))?;
            }
            _ => {
                let name = instance_name(&line)?;
                let instance =
                    self.instances.get_mut(name).ok_or_else(|| line.error(0, "a known instance"))?;
                if let Some(instance) = instance {
                    instance.handle(now, &line, &self.lists, replies)?;
                }
            }
        }
        Ok(Progress::BatchContinues)
    }

    fn store_list(&mut self, line: &Line<'_>) -> Result<(), WireError> {
        let expected = "a roster number from 0 to 15";
        let number = line.integer(0, expected)?;
        if number > MAX_LIST_NUMBER {
            return Err(line.error(0, expected));
        }
        let entries = line.value(1).as_array().ok_or_else(|| line.error(1, "an array of entries"))?;
        let entries: Result<Vec<_>, WireError> = entries.iter().map(read_entry).collect();
        self.lists.insert(number, entries?);
        Ok(())
    }

    fn create(&mut self, line: &Line<'_>, replies: &mut Vec<u8>) -> Result<(), WireError> {
        let name = instance_name(line)?;
        let number = name.strip_prefix("proxy-").and_then(|number| number.parse::<u64>().ok());
        if number.is_none() {
            return Err(line.error(0, "an instance such as proxy-3"));
        }
        let seed = line.integer(1, "a seed")?;
        let instance = match Instance::new(name, seed, line.value(2)) {
            Ok(instance) => Some(instance),
            Err(cause) => {
                eprintln!("shaletide-adapter: settings of {name}: {cause}");
                write_line(replies, &json!([reply::CREATE_FAILED, name, format!("settings: {cause}")]));
                None
            }
        };
        self.instances.insert(name.into(), instance);
        Ok(())
    }
}

fn instance_name<'a>(line: &Line<'a>) -> Result<&'a str, WireError> {
    line.text(0, "an instance")
}

fn write_line(replies: &mut Vec<u8>, value: &Value) {
    let _ = writeln!(replies, "{value}"); // writing to a vector does not fail
}
