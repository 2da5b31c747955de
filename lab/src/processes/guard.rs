//! Children must not outlive the lab, not even one that is killed outright: a guard, a small process of the same
//! program, holds the other end of a pipe. When the pipe ends without a goodbye, it kills whom it was told of.

use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeSet;
use std::io::{self, BufRead, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;

/// The lab's end of the pipe.
pub struct Guard {
    child: Child,
    pipe: Mutex<Option<ChildStdin>>,
}

impl Guard {
    /// Starts `program guard`, which must call [`watch`] on its standard input.
    pub fn start(program: &Path) -> io::Result<Self> {
        let mut child = Command::new(program)
            .arg("guard")
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()?;
        let pipe = Mutex::new(child.stdin.take());
        Ok(Self { child, pipe })
    }

    /// A child has started.
    pub fn started(&self, pid: u32) {
        self.say(&format!("+{pid}\n"));
    }

    /// A child has ended and been waited for: its number may become another process's.
    pub fn ended(&self, pid: u32) {
        self.say(&format!("-{pid}\n"));
    }

    fn say(&self, line: &str) {
        let mut pipe = self
            .pipe
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(to) = pipe.as_mut()
            && to.write_all(line.as_bytes()).is_err()
        {
            tracing::warn!("the guard has ended: children would outlive a lab that is killed");
            *pipe = None;
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.pipe
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .take();
        let _ = self.child.wait();
    }
}

/// Reads which children live until the input ends, then kills those left; returns how many these were.
pub fn watch(input: impl BufRead) -> usize {
    let mut living = BTreeSet::new();
    for line in input.lines().map_while(Result::ok) {
        let Some((sign, pid)) = line.split_at_checked(1) else {
            continue;
        };
        let Ok(pid) = pid.parse::<i32>() else {
            continue;
        };
        match sign {
            "+" => living.insert(pid),
            _ => living.remove(&pid),
        };
    }
    let living = living.into_iter().filter_map(Pid::from_raw);
    living
        .filter(|pid| kill_process(*pid, Signal::KILL).is_ok())
        .count()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_is_left_when_the_lab_is_gone_is_killed() {
        let mut child = Command::new("sleep").arg("60").spawn().expect("a child");
        let told = format!("+{}\n+999999999\n-999999999\nnonsense\n", child.id());
        assert_eq!(watch(told.as_bytes()), 1);
        assert!(!child.wait().expect("it has ended").success());
    }
}
