//! `frostkeel members`: who is present, by the pages of the balancers.

use bytes::Bytes;
use clap::Args;
use frostkeel_registry::client::{CompleteResponse, call};
use hyper::Method;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::sleep;

/// How often a watch looks.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Whose views are shown, and how.
#[derive(Args)]
pub struct Members {
    /// Addresses of the pages, as `page` in the configuration or in the log's line `joining`.
    pages: Vec<SocketAddr>,
    /// A file with one such address a line.
    #[arg(long)]
    file: Option<PathBuf>,
    /// Show all views side by side and where they differ, not only the first.
    #[arg(long)]
    all: bool,
    /// Go on, and show each change.
    #[arg(long)]
    watch: bool,
    /// Write what the pages say, in JSON, one line each.
    #[arg(long)]
    json: bool,
}

#[derive(Deserialize)]
struct Page {
    name: String,
    fleet: String,
    phase: String,
    version: u64,
    digest: String,
    there: usize,
    members: Vec<Row>,
}

#[derive(Clone, Deserialize)]
struct Row {
    name: String,
    incarnation: u64,
    turn: u16,
    standing: String,
    since_s: f64,
    from: Option<String>,
}

/// What a page said, or why it said nothing.
type Read = Result<Page, String>;

pub fn run(command: Members) -> Result<ExitCode, Box<dyn Error>> {
    let mut pages = command.pages.clone();
    if let Some(file) = &command.file {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let address = line.trim().parse();
            pages.push(address.map_err(|e| format!("{}: {line:?}: {e}", file.display()))?);
        }
    }
    if pages.is_empty() {
        return Err("whose view? name the address of a page, or a --file of them".into());
    }
    if !command.all {
        pages.truncate(1);
    }
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(show(&command, &pages))
}

async fn show(command: &Members, pages: &[SocketAddr]) -> Result<ExitCode, Box<dyn Error>> {
    let mut before = String::new();
    loop {
        let mut texts = Vec::new();
        for page in pages {
            texts.push(read(*page).await);
        }
        let parsed = |text: &Result<Bytes, String>| -> Read {
            let text = text.as_ref().map_err(Clone::clone)?;
            serde_json::from_slice(text).map_err(|e| format!("the page cannot be read: {e}"))
        };
        let views: Vec<Read> = texts.iter().map(parsed).collect();
        let now = versions(&views);
        if now != before {
            if command.json {
                for text in texts.iter().flatten() {
                    println!("{}", String::from_utf8_lossy(text));
                }
                views
                    .iter()
                    .filter_map(|view| view.as_ref().err())
                    .for_each(|e| eprintln!("{e}"));
            } else if command.all {
                print!("{}", side_by_side(&views));
            } else {
                views.iter().for_each(|view| print!("{}", one(view)));
            }
            before = now;
        }
        if !command.watch {
            let good = views.iter().all(Result::is_ok) && equal(&views);
            return Ok(if good {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            });
        }
        sleep(LOOK_EVERY).await;
    }
}

/// Different whenever there is something new to be shown.
fn versions(views: &[Read]) -> String {
    let version = |view: &Read| match view {
        Ok(page) => format!("{} {} {}", page.name, page.phase, page.version),
        Err(e) => e.clone(),
    };
    views.iter().map(version).collect::<Vec<_>>().join("\n")
}

fn equal(views: &[Read]) -> bool {
    let members = views.iter().flatten().filter(|page| page.phase == "member");
    members
        .map(|page| &page.digest)
        .collect::<BTreeSet<_>>()
        .len()
        <= 1
}

async fn read(page: SocketAddr) -> Result<Bytes, String> {
    let called = call(page, Method::GET, "/members", String::new()).await;
    match called.map_err(|e| e.to_string())? {
        CompleteResponse { status: 200, body } => Ok(body),
        CompleteResponse { status, .. } => Err(format!("{page}: answered {status}")),
    }
}

fn one(view: &Read) -> String {
    let page = match view {
        Ok(page) => page,
        Err(e) => return format!("{e}\n"),
    };
    let mut text = format!(
        "{} of {} ({}): version {}, {} there, digest {}\n{:16} {:8} {:>10} {:>16} from\n",
        page.name,
        page.fleet,
        page.phase,
        page.version,
        page.there,
        page.digest,
        "name",
        "standing",
        "for s",
        "life"
    );
    for row in &page.members {
        let from = row.from.as_deref().unwrap_or("itself");
        let life = format!("{}.{}", row.incarnation, row.turn);
        text += &format!(
            "{:16} {:8} {:>10.1} {life:>16} {from}\n",
            row.name, row.standing, row.since_s
        );
    }
    text
}

/// One line for each process; below, for each name that not all see alike, who sees what.
fn side_by_side(views: &[Read]) -> String {
    let mut text = format!(
        "{:16} {:8} {:>8} {:>6} digest\n",
        "view of", "phase", "version", "there"
    );
    let mut seen: BTreeMap<&str, BTreeMap<String, Vec<&str>>> = BTreeMap::new();
    let pages: Vec<&Page> = views.iter().flatten().collect();
    for page in &pages {
        text += &format!(
            "{:16} {:8} {:>8} {:>6} {}\n",
            page.name, page.phase, page.version, page.there, page.digest
        );
    }
    views
        .iter()
        .filter_map(|view| view.as_ref().err())
        .for_each(|e| text += &format!("{e}\n"));
    let members: Vec<&Page> = pages
        .into_iter()
        .filter(|page| page.phase == "member")
        .collect();
    let names: BTreeSet<&str> = members
        .iter()
        .flat_map(|p| &p.members)
        .map(|row| row.name.as_str())
        .collect();
    for (name, page) in names
        .iter()
        .flat_map(|name| members.iter().map(move |page| (*name, *page)))
    {
        let row = page.members.iter().find(|row| row.name == name);
        let said = match row {
            Some(row) if matches!(row.standing.as_str(), "present" | "suspect") => {
                format!("there, life {}.{}", row.incarnation, row.turn)
            }
            _ => "not there".into(),
        };
        seen.entry(name)
            .or_default()
            .entry(said)
            .or_default()
            .push(&page.name);
    }
    seen.retain(|_, said| said.len() > 1);
    if seen.is_empty() {
        return text + "all views are alike\n";
    }
    for (name, said) in seen {
        for (what, by) in said {
            let shown = by.iter().take(8).copied().collect::<Vec<_>>().join(" ");
            let more = by.len().saturating_sub(8);
            let more = if more > 0 {
                format!(" and {more} more")
            } else {
                String::new()
            };
            text += &format!("{name}: {what}, say {shown}{more}\n");
        }
    }
    text
}
