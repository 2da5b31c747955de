//! The guard ensures that child processes do not outlive the lab, even if the lab is killed.
//!
//! The guard is a separate process of the same program. The lab reports the start and the exit of
//! each child through a pipe. When the lab ends, the pipe closes, and the guard kills the remaining
//! children.

use crate::sync::lock;
use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeSet;
use std::io::{self, BufRead, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;

/// The guard process, and the lab's end of the pipe to it.
pub struct Guard {
    child: Child,
    /// The lab's end of the pipe; `None` once a write has failed because the guard has exited.
    pipe: Mutex<Option<ChildStdin>>,
}

impl Guard {
    /// Starts `program guard`, which must call [`kill_children_when_input_ends`] with its standard
    /// input.
    pub fn start(program: &Path) -> io::Result<Self> {
        let mut child = Command::new(program)
            .arg("guard")
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()?;
        let pipe = Mutex::new(child.stdin.take());
        Ok(Self { child, pipe })
    }

    /// Reports to the guard that a child has started.
    pub fn register(&self, pid: Pid) {
        self.send(&format!("+{}\n", pid.as_raw_nonzero()));
    }

    /// Reports to the guard that a child has exited and has been waited for. From then on, the
    /// operating system may give the child's process id to a process that the guard must not kill.
    pub fn unregister(&self, pid: Pid) {
        self.send(&format!("-{}\n", pid.as_raw_nonzero()));
    }

    fn send(&self, line: &str) {
        let mut pipe = lock(&self.pipe);
        if let Some(writer) = pipe.as_mut()
            && writer.write_all(line.as_bytes()).is_err()
        {
            tracing::warn!("the guard process has exited: children survive if the lab is killed");
            *pipe = None;
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        lock(&self.pipe).take();
        let _ = self.child.wait();
    }
}

/// Reads the starts (`+PID`) and exits (`-PID`) of children, one a line, until the input ends. Then
/// kills the remaining children and returns the number of processes that were killed.
pub fn kill_children_when_input_ends(input: impl BufRead) -> usize {
    let mut live_pids = BTreeSet::new();
    for line in input.lines().map_while(Result::ok) {
        let Some((sign, pid)) = line.split_at_checked(1) else {
            continue;
        };
        let Ok(pid) = pid.parse::<i32>() else {
            continue;
        };
        match sign {
            "+" => live_pids.insert(pid),
            _ => live_pids.remove(&pid),
        };
    }
    live_pids
        .into_iter()
        .filter_map(Pid::from_raw)
        .filter(|pid| kill_process(*pid, Signal::KILL).is_ok())
        .count()
}
