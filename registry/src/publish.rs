//! The list as readers see it: what is durable, each text encoded once for all who need it.

use crate::list::{List, News, Record};
use bytes::Bytes;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use tokio::sync::watch;

/// Encoded changes that are kept for readers who need the same ones.
const TEXTS_KEPT: usize = 64;

#[derive(Serialize)]
struct Text<'a> {
    rev: u64,
    all: bool,
    targets: &'a [&'a Record],
}

struct Inner {
    list: List,
    whole: Option<(u64, Bytes)>,
    /// From which version, to which, and the line.
    changes: VecDeque<(u64, u64, Bytes)>,
}

/// The list as readers see it.
pub struct Published {
    inner: Mutex<Inner>,
    rev: watch::Sender<u64>,
}

fn encoded(news: &News<'_>) -> Bytes {
    let text = Text {
        rev: news.rev,
        all: news.all,
        targets: &news.records,
    };
    // A record has only texts and numbers: it can always be written.
    Bytes::from(serde_json::to_vec(&text).unwrap_or_default())
}

impl Published {
    /// A list as it was opened.
    pub fn new(list: List) -> Self {
        let rev = watch::Sender::new(list.rev());
        Self {
            inner: Mutex::new(Inner {
                list,
                whole: None,
                changes: VecDeque::new(),
            }),
            rev,
        }
    }

    /// Tells of new versions.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.rev.subscribe()
    }

    /// The version that readers see.
    pub fn rev(&self) -> u64 {
        *self.rev.borrow()
    }

    /// Shows changes that have become durable.
    pub fn follow(&self, changes: Vec<(u64, Record)>) {
        let rev = {
            let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
            inner.list.follow(changes);
            inner.list.rev()
        };
        self.rev.send_replace(rev);
    }

    /// The text for a reader at some version, and the version that it brings it to.
    pub fn text(&self, since: Option<u64>) -> (u64, Bytes) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let rev = inner.list.rev();
        if let Some(since) = since
            && let Some((.., text)) = inner
                .changes
                .iter()
                .find(|(from, to, _)| (*from, *to) == (since, rev))
        {
            return (rev, text.clone());
        }
        if since.is_none()
            && let Some((_, text)) = inner.whole.as_ref().filter(|(of, _)| *of == rev)
        {
            return (rev, text.clone());
        }
        let news = inner.list.since(since);
        let (all, text) = (news.all, encoded(&news));
        match since {
            Some(since) if !all => {
                if inner.changes.len() >= TEXTS_KEPT {
                    inner.changes.pop_front();
                }
                inner.changes.push_back((since, rev, text.clone()));
            }
            _ => inner.whole = Some((rev, text.clone())),
        }
        (rev, text)
    }
}
