//! A request that is owed its final answer.

use crate::driver::Driver;
use crate::in_flight::Answer;
use frostkeel_policy::RequestId;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request that is owed its final answer; dropped before, its client has gone.
pub struct Pending {
    driver: Rc<Driver>,
    id: RequestId,
    answer: Option<oneshot::Receiver<Answer>>,
}

impl Pending {
    pub(crate) fn new(
        driver: Rc<Driver>,
        id: RequestId,
        answer: oneshot::Receiver<Answer>,
    ) -> Self {
        Self {
            driver,
            id,
            answer: Some(answer),
        }
    }

    /// The final answer.
    pub async fn answer(mut self) -> Answer {
        let Some(answer) = &mut self.answer else {
            return Answer::Failed;
        };
        let answer = answer.await;
        self.answer = None;
        answer.unwrap_or(Answer::Failed)
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if self.answer.take().is_some() {
            self.driver.client_has_left(self.id);
        }
    }
}
