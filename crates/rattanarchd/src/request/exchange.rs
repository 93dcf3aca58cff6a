//! One request on one connection, from its first byte to a known end.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header;
use tokio::sync::oneshot;

use crate::connection::BusyConnection;
use crate::connection::Pool;
use crate::connection::PoolError;
use crate::connection::SendError;
use crate::request::OutgoingBody;
use crate::request::RequestError;
use crate::request::admission::Permit;
use crate::request::body::Paced;
use crate::request::control;
use crate::request::control::Cancelled;
use crate::request::headers;
use crate::request::response_body::AnswerBody;
use crate::request::running_requests::RunGuard;

/// Times that a request is moved to another connection because the first closed before any byte
/// had left.
const MAX_MOVES: usize = 3;

/// How long a given-up request keeps its slot: upstreams end what is past its deadline.
const SLOT_LINGER: Duration = Duration::from_millis(200);

/// When to come back if every connection is in use.
const FULL_RETRY: Duration = Duration::from_millis(100);

/// What a request keeps until its end is known.
#[derive(Debug, Default)]
pub(crate) struct Hold {
    /// Leave to run at the own upstream; `None` if it was forwarded.
    pub(crate) permit: Option<Permit>,
    /// Entry among the running ones; `None` if it was forwarded.
    pub(crate) run: Option<RunGuard>,
}

/// One request on its way to an upstream or a peer.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) pool: Arc<Pool>,
    /// Id that the answer must echo.
    pub(crate) id: String,
    /// When the caller is answered in any case.
    pub(crate) deadline: Instant,
    pub(crate) idempotent: bool,
    /// Longest silence within the answer's body.
    pub(crate) body_timeout: Duration,
    /// How long a given-up request is watched.
    pub(crate) linger: Duration,
    /// Where to cancel it; `None` if it was forwarded: then the closed connection does that.
    pub(crate) control: Option<Arc<Pool>>,
    /// Whether the upstream refuses what comes late, so that an unknown request is not taken for
    /// an ended one.
    pub(crate) checks_fence: bool,
    pub(crate) hold: Hold,
}

type Outcome = Result<Response<OutgoingBody>, RequestError>;

impl Exchange {
    /// Sends `request` and waits for the head of its answer.
    ///
    /// The exchange goes on by itself if the caller of this function goes away: what has left for
    /// the upstream is cancelled, or watched until its end.
    ///
    /// # Errors
    /// Its verdict is [`Verdict::NotRun`](rattanarch_types::Verdict::NotRun) only if no byte has
    /// left and none will.
    pub(crate) async fn run(self, request: Request<OutgoingBody>) -> Outcome {
        let (tx, rx) = oneshot::channel();
        tokio::spawn(self.drive(request, tx));
        rx.await.unwrap_or_else(|_| Err(RequestError::Cut("the exchange ended".to_owned())))
    }

    async fn drive(mut self, mut request: Request<OutgoingBody>, mut tx: oneshot::Sender<Outcome>) {
        for moves in 0..=MAX_MOVES {
            let checkout = self.checkout(moves == MAX_MOVES);
            let link = tokio::select! {
                link = checkout => link,
                () = tx.closed() => return,
            };
            let link = match link {
                Ok(link) => link,
                Err(error) => return answer(tx, Err(error)),
            };
            match self.send(link, request, tx).await {
                Next::Ended => return,
                Next::Again(exchange, unsent, sender) => {
                    self = exchange;
                    request = *unsent;
                    tx = sender;
                }
            }
        }
        let address = self.pool.address();
        let reason = "connections close at once".to_owned();
        answer(tx, Err(RequestError::Unreachable { address, reason }));
    }

    /// A connection; a fresh one if `fresh`.
    async fn checkout(&self, fresh: bool) -> Result<BusyConnection, RequestError> {
        let taken = if fresh {
            self.pool.connect(self.deadline).await
        } else {
            self.pool.checkout(self.deadline).await
        };
        taken.map_err(|error| match error {
            PoolError::Full(_) => RequestError::Overloaded { retry: FULL_RETRY },
            PoolError::Connect { address, source } => {
                RequestError::Unreachable { address, reason: source.to_string() }
            }
        })
    }

    async fn send(
        self,
        mut link: BusyConnection,
        request: Request<OutgoingBody>,
        mut tx: oneshot::Sender<Outcome>,
    ) -> Next {
        let stream = link.stream();
        let reused = link.is_reused();
        let mut sending = Box::pin(link.send(request));
        let given_up = tokio::select! {
            biased;
            sent = &mut sending => {
                drop(sending);
                return self.finish(link, sent, tx);
            }
            () = tokio::time::sleep_until(self.deadline.into()) => true,
            () = tx.closed() => false,
        };
        if stream.stop_if_unsent() {
            answer(tx, Err(RequestError::Late));
            return Next::Ended;
        }
        if given_up {
            answer(tx, Err(RequestError::TimedOut));
            if reused {
                tokio::spawn(probe(Arc::clone(&self.pool)));
            }
        }
        self.watch(sending).await;
        Next::Ended
    }

    fn finish(
        self,
        link: BusyConnection,
        sent: Result<Response<Incoming>, SendError>,
        tx: oneshot::Sender<Outcome>,
    ) -> Next {
        match sent {
            Ok(head) => {
                let outcome = self.accept(link, head);
                answer(tx, outcome);
            }
            Err(SendError::Unsent(Some(request))) => return Next::Again(self, request, tx),
            Err(SendError::Unsent(None)) => {
                let address = self.pool.address();
                let reason = "the connection closed before the request was sent".to_owned();
                answer(tx, Err(RequestError::Unreachable { address, reason }));
            }
            Err(SendError::Broken(error)) => {
                answer(tx, Err(RequestError::Cut(error.to_string())));
                self.give_up();
            }
        }
        Next::Ended
    }

    /// Takes the head of an answer, if it is this request's.
    fn accept(self, link: BusyConnection, head: Response<Incoming>) -> Outcome {
        if !self.is_mine(&head) {
            self.give_up();
            return Err(RequestError::Crossed);
        }
        if is_endless(&head) {
            return Err(RequestError::Endless);
        }
        let (mut parts, incoming) = head.into_parts();
        headers::strip_hop_by_hop(&mut parts.headers);
        if incoming.size_hint().exact().is_none() {
            // The codec has read it in chunks, whatever this field says.
            parts.headers.remove(header::CONTENT_LENGTH);
        }
        let inner = Paced::new(incoming, self.body_timeout);
        let body = AnswerBody::new(inner, link, self.pool, self.hold);
        Ok(Response::from_parts(parts, body.boxed_unsync()))
    }

    fn is_mine<B>(&self, head: &Response<B>) -> bool {
        head.headers().get(headers::REQUEST).is_some_and(|id| id.as_bytes() == self.id.as_bytes())
    }

    /// Leaves a request of unknown outcome without a connection. Its slot is free: the upstream
    /// has ended the connection, or answers on it.
    fn give_up(mut self) {
        self.hold.permit = None;
        tokio::spawn(self.watch(std::future::pending()));
    }

    /// Watches a request that was given up after bytes had left, until its end is known or the
    /// time to watch is over; cancels it where that is safe.
    async fn watch(mut self, sending: impl Future<Output = Result<Response<Incoming>, SendError>>) {
        let abandoned = self.hold.run.take().map(RunGuard::abandon);
        let permit = self.hold.permit.take();
        let ended = {
            let mut known = std::pin::pin!(self.end_known(sending));
            if tokio::time::timeout(SLOT_LINGER, &mut known).await.is_ok() {
                true
            } else {
                drop(permit);
                tokio::time::timeout(self.linger, &mut known).await.is_ok()
            }
        };
        if let Some(abandoned) = abandoned.filter(|_| ended) {
            abandoned.settle();
        }
    }

    /// Returns once the request is known to run no more.
    async fn end_known(
        &self,
        sending: impl Future<Output = Result<Response<Incoming>, SendError>>,
    ) {
        tokio::select! {
            () = self.late_answer(sending) => {}
            () = self.cancelled() => {}
        }
    }

    /// Waits for the answer of a request that was given up.
    async fn late_answer(
        &self,
        sending: impl Future<Output = Result<Response<Incoming>, SendError>>,
    ) {
        if self.control.is_none() {
            // A closed connection is how the peer learns that the request was given up.
            return;
        }
        match sending.await {
            Ok(head) if self.is_mine(&head) => {}
            _ => std::future::pending().await,
        }
    }

    /// Returns once the upstream has confirmed that the request runs no more.
    async fn cancelled(&self) {
        let Some(control) = self.control.as_ref().filter(|_| self.idempotent) else {
            return std::future::pending().await;
        };
        match control::cancel(control, &self.id).await {
            Cancelled::Stopped => {}
            Cancelled::Absent if !self.checks_fence => {}
            Cancelled::Absent | Cancelled::Unknown => std::future::pending().await,
        }
    }
}

/// Whether the connection is done with.
enum Next {
    Ended,
    /// No byte has left: the same request may go by another connection.
    Again(Exchange, Box<Request<OutgoingBody>>, oneshot::Sender<Outcome>),
}

fn answer(tx: oneshot::Sender<Outcome>, outcome: Outcome) {
    // A caller that has gone away needs no answer; dropping it closes its connection.
    let _ = tx.send(outcome);
}

/// Condemns the connections of `pool` if a fresh one works while an older one stayed mute.
async fn probe(pool: Arc<Pool>) {
    let start = Instant::now();
    if control::answers(&pool).await {
        pool.retire_before(start);
    }
}

/// Whether the answer ends with its connection, so that a cut looks like its end.
fn is_endless(head: &Response<Incoming>) -> bool {
    let empty = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&head.status());
    !empty
        && !head.body().is_end_stream()
        && head.body().size_hint().exact().is_none()
        && !head.headers().contains_key(header::TRANSFER_ENCODING)
}
