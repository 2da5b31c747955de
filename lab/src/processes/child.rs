//! Starts child processes of the lab, and stores and reads their logs.

use crate::error::LabError;
use rustix::process::Pid;
use std::path::Path;
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncWriteExt, BufReader};
use tokio::process::{Child, Command};

/// Returns the value of the field `name=value` in a line of a log; `None` if the field is missing.
pub fn log_field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(' ')
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// Returns the process id of a child; `None` once its exit has been collected.
pub fn process_id(child: &Child) -> Option<Pid> {
    child.id().and_then(|pid| Pid::from_raw(pid as i32))
}

/// Writes a file of the run, and replaces the content if the file exists.
pub async fn write_file(path: &Path, text: &str) -> Result<(), LabError> {
    let written = tokio::fs::write(path, text).await;
    written.map_err(|source| LabError::File {
        path: path.to_owned(),
        source,
    })
}

/// Starts a command without standard input and output. The standard error of the process is its
/// log: each line is passed to `on_line` and then appended to the file at `log_path`. Dropping the
/// returned child kills the process.
pub async fn spawn_logged(
    command: &mut Command,
    log_path: &Path,
    on_line: impl FnMut(&str) + Send + 'static,
) -> Result<Child, LabError> {
    let file = tokio::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log_path)
        .await;
    let file = file.map_err(|source| LabError::File {
        path: log_path.to_owned(),
        source,
    })?;
    let spawned = command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn();
    let mut child = spawned.map_err(|source| {
        let program = command.as_std().get_program().into();
        LabError::Start { program, source }
    })?;
    if let Some(stderr) = child.stderr.take() {
        tokio::spawn(store_log(stderr, file, on_line));
    }
    Ok(child)
}

async fn store_log(
    stderr: impl AsyncRead + Unpin,
    mut file: tokio::fs::File,
    mut on_line: impl FnMut(&str),
) {
    let mut lines = BufReader::new(stderr).lines();
    // The pipe is read even if the log file cannot be written: a full pipe would block the child.
    while let Ok(Some(line)) = lines.next_line().await {
        on_line(&line);
        let _ = file.write_all(format!("{line}\n").as_bytes()).await;
    }
    let _ = file.flush().await;
}
