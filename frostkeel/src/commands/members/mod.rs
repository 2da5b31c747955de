//! `frostkeel members`: who is present, by the pages of the balancers.

mod page;
mod tables;

use crate::error::CommandError;
use crate::exit::{CommandOutcome, CommandResult};
use crate::runtime;
use clap::Args;
use page::{FetchedPage, View};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::sleep;

/// How often a watch reads the pages.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Whose views are shown, and how.
#[derive(Args)]
pub struct MembersArgs {
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

/// Prints the views, and with `--watch` each change.
pub fn run(args: &MembersArgs) -> CommandResult {
    let mut addresses = args.pages.clone();
    if let Some(file) = &args.file {
        addresses.extend(read_addresses(file)?);
    }
    if addresses.is_empty() {
        return Err(CommandError::NoPages);
    }
    if !args.all {
        addresses.truncate(1);
    }
    runtime::single_threaded()?.block_on(print_views(args, &addresses))
}

fn read_addresses(path: &Path) -> Result<Vec<SocketAddr>, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::ReadFile {
        path: path.to_owned(),
        source,
    })?;
    let lines = text.lines().filter(|line| !line.trim().is_empty());
    let parse = |line: &str| {
        line.trim()
            .parse()
            .map_err(|source| CommandError::PageAddress {
                path: path.to_owned(),
                line: line.to_owned(),
                source,
            })
    };
    lines.map(parse).collect()
}

async fn print_views(args: &MembersArgs, addresses: &[SocketAddr]) -> CommandResult {
    let mut shown_versions = String::new();
    loop {
        let mut pages = Vec::new();
        for address in addresses {
            pages.push(page::fetch(*address).await);
        }
        let versions = versions(&pages);
        if versions != shown_versions {
            print_pages(args, &pages);
            shown_versions = versions;
        }
        if !args.watch {
            let all_read = pages.iter().all(|page| page.view.is_ok());
            return Ok(CommandOutcome::from_check(all_read && are_equal(&pages)));
        }
        sleep(WATCH_INTERVAL).await;
    }
}

fn print_pages(args: &MembersArgs, pages: &[FetchedPage]) {
    if args.json {
        for text in pages.iter().filter_map(|page| page.text.as_ref()) {
            println!("{}", String::from_utf8_lossy(text));
        }
        for error in pages.iter().filter_map(|page| page.view.as_ref().err()) {
            eprintln!("{error}");
        }
    } else if args.all {
        print!("{}", tables::comparison(pages));
    } else {
        for page in pages {
            print!("{}", tables::single_view(&page.view));
        }
    }
}

/// A text that differs whenever there is something new to be shown.
fn versions(pages: &[FetchedPage]) -> String {
    let version = |page: &FetchedPage| match &page.view {
        Ok(View {
            name,
            phase,
            version,
            ..
        }) => format!("{name} {phase} {version}"),
        Err(error) => error.to_string(),
    };
    pages.iter().map(version).collect::<Vec<_>>().join("\n")
}

/// Whether all balancers that have joined see the same members.
fn are_equal(pages: &[FetchedPage]) -> bool {
    let views = pages.iter().filter_map(|page| page.view.as_ref().ok());
    let joined = views.filter(|view| view.has_joined());
    joined
        .map(|view| &view.digest)
        .collect::<BTreeSet<_>>()
        .len()
        <= 1
}
