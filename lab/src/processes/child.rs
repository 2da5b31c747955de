//! Children of the lab: started with nothing to read or to write to, and their logs kept and read line by line.

use crate::error::LabError;
use std::path::Path;
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, Command};

/// The value of a field in a line of a log.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(' ')
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// Starts a command whose log is added to a file; each line of it is heard first.
pub async fn start(
    command: &mut Command,
    log: &Path,
    mut heard: impl FnMut(&str) + Send + 'static,
) -> Result<Child, LabError> {
    let file = tokio::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .await;
    let mut file = file.map_err(|source| LabError::File {
        path: log.to_owned(),
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
        tokio::spawn(async move {
            let mut lines = BufReader::new(stderr).lines();
            // A log that cannot be kept must still be read, or the child would stand still.
            while let Ok(Some(line)) = lines.next_line().await {
                heard(&line);
                let _ = file.write_all(format!("{line}\n").as_bytes()).await;
            }
            let _ = file.flush().await;
        });
    }
    Ok(child)
}
