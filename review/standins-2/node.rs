//! A session node as a process of its own, for an agent to run: `node ADDRESS UID FILE`. It adds a line to FILE for each
//! request that has arrived: Unix time in milliseconds, uid, class, id.

#[path = "common.rs"]
mod common;

use common::*;
use std::fs::OpenOptions;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

fn main() -> std::io::Result<()> {
    let arguments: Vec<String> = std::env::args().collect();
    let (address, uid, file) = (&arguments[1], arguments[2].clone(), &arguments[3]);
    let file = Arc::new(OpenOptions::new().create(true).append(true).open(file)?);
    // A node whose agent was killed ends too.
    let parent = std::os::unix::process::parent_id();
    std::thread::spawn(move || {
        while std::os::unix::process::parent_id() == parent {
            sleep_s(0.5);
        }
        std::process::exit(0)
    });
    let listener = TcpListener::bind(address)?;
    for stream in listener.incoming().flatten() {
        let (uid, file) = (uid.clone(), Arc::clone(&file));
        std::thread::spawn(move || {
            let _ = serve(stream, &uid, &file);
        });
    }
    Ok(())
}

fn serve(stream: TcpStream, uid: &str, mut file: &std::fs::File) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let id = request.header("x-correlation-id").unwrap_or("").to_owned();
        if id.is_empty() {
            write_response(&mut writer, "404 Not Found", "", b"")?;
            continue;
        }
        let class = request.path().trim_start_matches('/').split('/').next();
        let line = format!("{} {uid} {} {id}\n", unix_ms(), class.unwrap_or(""));
        file.write_all(line.as_bytes())?;
        sleep_s(0.05);
        let load = "X-Backend-Load: inflight=1,util=0.10\r\n";
        let body = format!("{id} served by {uid}");
        write_response(&mut writer, "200 OK", load, body.as_bytes())?;
    }
    Ok(())
}
