//! `frostkeel members`: prints which members balancers see, from the membership pages of the balancers.

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

/// The pause of `--watch` between two reads of the pages.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Arguments of `frostkeel members`.
#[derive(Args)]
pub struct MembersArgs {
    /// Address of a balancer's membership page, e.g. 127.0.0.1:7000; without --all, only the first is read.
    ///
    /// It is the value of `page` in the balancer's configuration, and in the balancer's log line `joining`.
    #[arg(value_name = "ADDRESS")]
    pages: Vec<SocketAddr>,
    /// Path of a file with further addresses of membership pages, one per line.
    #[arg(long)]
    file: Option<PathBuf>,
    /// Read the pages of all addresses, and show how their views differ.
    #[arg(long)]
    all: bool,
    /// Read the pages every second until interrupted, and print them whenever one has changed.
    #[arg(long)]
    watch: bool,
    /// Print the JSON body of each page as received, instead of tables.
    #[arg(long)]
    json: bool,
}

/// Prints the views. With `--watch`, prints them again whenever one has changed, and does not return.
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

/// Returns the names, phases and versions of all views, and the errors, as one text. It changes whenever a page must be
/// printed again.
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

/// Returns whether the views of all balancers that have joined are equal. Ignores pages that could not be read.
fn are_equal(pages: &[FetchedPage]) -> bool {
    let views = pages.iter().filter_map(|page| page.view.as_ref().ok());
    let joined = views.filter(|view| view.has_joined());
    joined
        .map(|view| &view.digest)
        .collect::<BTreeSet<_>>()
        .len()
        <= 1
}
