//! Sends one request to an upstream or a peer, and tracks it until it has certainly ended.

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
use crate::request::body::BoundedBody;
use crate::request::control;
use crate::request::control::CancelResult;
use crate::request::headers;
use crate::request::response_body::ResponseBody;
use crate::request::running_requests::RunningGuard;

/// Maximum number of times that a request is moved to another connection because the previous one
/// closed before any byte was sent.
const MAX_RECONNECTS: usize = 3;

/// Time for which an unresolved request keeps its slot. Upstreams end requests at their deadline.
const UNRESOLVED_SLOT_TIME: Duration = Duration::from_millis(200);

/// Retry delay if all connections are in use.
const POOL_FULL_RETRY: Duration = Duration::from_millis(100);

/// Guards that a request holds until it has ended.
#[derive(Debug, Default)]
pub(crate) struct RequestGuards {
    /// Permit to run at the local upstream; `None` for a request sent to a peer.
    pub(crate) permit: Option<Permit>,
    /// Entry in the running requests; `None` for a request sent to a peer.
    pub(crate) run: Option<RunningGuard>,
}

/// A request to an upstream or a peer, and what is needed to track it.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) pool: Arc<Pool>,
    /// Request id, which the response must echo.
    pub(crate) id: String,
    /// When the caller gets a response in any case.
    pub(crate) deadline: Instant,
    pub(crate) idempotent: bool,
    /// Maximum time without data within the response body.
    pub(crate) body_timeout: Duration,
    /// How long to wait for the end of an unresolved request.
    pub(crate) unresolved_timeout: Duration,
    /// Where to cancel the request; `None` for one sent to a peer, which cancels it when the
    /// connection closes.
    pub(crate) control: Option<Arc<Pool>>,
    /// Whether the upstream checks fences. Then a request that the upstream does not know, but that
    /// may be in transit, stays unresolved: a higher fence will resolve it.
    pub(crate) checks_fence: bool,
    pub(crate) guards: RequestGuards,
}

type Outcome = Result<Response<OutgoingBody>, RequestError>;

impl Exchange {
    /// Sends `request` and waits for the head of its response.
    ///
    /// If the returned future is dropped, the exchange continues in its own task: a request that
    /// was sent is cancelled, or tracked until it ends.
    ///
    /// # Errors
    /// The verdict is [`Verdict::NotRun`](rattanarch_types::Verdict::NotRun) only if no byte of the
    /// request was sent and none will be.
    pub(crate) async fn run(self, request: Request<OutgoingBody>) -> Outcome {
        let (tx, rx) = oneshot::channel();
        tokio::spawn(self.drive(request, tx));
        rx.await.unwrap_or_else(|_| {
            Err(RequestError::ConnectionLost("the exchange task ended".to_owned()))
        })
    }

    async fn drive(mut self, mut request: Request<OutgoingBody>, mut tx: oneshot::Sender<Outcome>) {
        for reconnects in 0..=MAX_RECONNECTS {
            let checkout = self.checkout(reconnects == MAX_RECONNECTS);
            let connection = tokio::select! {
                connection = checkout => connection,
                () = tx.closed() => return,
            };
            let connection = match connection {
                Ok(connection) => connection,
                Err(error) => return respond(tx, Err(error)),
            };
            match self.send(connection, request, tx).await {
                Next::Done => return,
                Next::Reconnect(exchange, unsent, sender) => {
                    self = exchange;
                    request = *unsent;
                    tx = sender;
                }
            }
        }
        let address = self.pool.address();
        let reason = "every connection closed before the request was sent".to_owned();
        respond(tx, Err(RequestError::Unreachable { address, reason }));
    }

    /// A connection from the pool; a new one if `fresh` is set.
    async fn checkout(&self, fresh: bool) -> Result<BusyConnection, RequestError> {
        let taken = if fresh {
            self.pool.connect(self.deadline).await
        } else {
            self.pool.checkout(self.deadline).await
        };
        taken.map_err(|error| match error {
            PoolError::Full(_) => RequestError::Overloaded { retry_after: POOL_FULL_RETRY },
            PoolError::Connect { address, source } => {
                RequestError::Unreachable { address, reason: source.to_string() }
            }
        })
    }

    async fn send(
        self,
        mut connection: BusyConnection,
        request: Request<OutgoingBody>,
        mut tx: oneshot::Sender<Outcome>,
    ) -> Next {
        let stream = connection.stream();
        let reused = connection.is_reused();
        let mut sending = Box::pin(connection.send(request));
        let timed_out = tokio::select! {
            biased;
            sent = &mut sending => {
                drop(sending);
                return self.finish(connection, sent, tx);
            }
            () = tokio::time::sleep_until(self.deadline.into()) => true,
            () = tx.closed() => false,
        };
        if stream.stop_if_unsent() {
            respond(tx, Err(RequestError::DeadlinePassed));
            return Next::Done;
        }
        if timed_out {
            respond(tx, Err(RequestError::TimedOut));
            if reused {
                tokio::spawn(probe(Arc::clone(&self.pool)));
            }
        }
        self.watch_unresolved(sending).await;
        Next::Done
    }

    fn finish(
        self,
        connection: BusyConnection,
        sent: Result<Response<Incoming>, SendError>,
        tx: oneshot::Sender<Outcome>,
    ) -> Next {
        match sent {
            Ok(head) => {
                let outcome = self.accept(connection, head);
                respond(tx, outcome);
            }
            Err(SendError::Unsent(Some(request))) => return Next::Reconnect(self, request, tx),
            Err(SendError::Unsent(None)) => {
                let address = self.pool.address();
                let reason = "the connection closed before the request was sent".to_owned();
                respond(tx, Err(RequestError::Unreachable { address, reason }));
            }
            Err(SendError::Broken(error)) => {
                respond(tx, Err(RequestError::ConnectionLost(error.to_string())));
                self.leave_unresolved();
            }
        }
        Next::Done
    }

    /// Checks that a response head belongs to this request, and adds the body.
    fn accept(self, connection: BusyConnection, head: Response<Incoming>) -> Outcome {
        if !self.has_request_id(&head) {
            self.leave_unresolved();
            return Err(RequestError::ResponseMismatch);
        }
        if is_close_delimited(&head) {
            return Err(RequestError::CloseDelimited);
        }
        let (mut parts, incoming) = head.into_parts();
        headers::strip_hop_by_hop(&mut parts.headers);
        if incoming.size_hint().exact().is_none() {
            // The body is chunked, so this field does not apply.
            parts.headers.remove(header::CONTENT_LENGTH);
        }
        let inner = BoundedBody::new(incoming, self.body_timeout);
        let body = ResponseBody::new(inner, connection, self.pool, self.guards);
        Ok(Response::from_parts(parts, body.boxed_unsync()))
    }

    fn has_request_id<B>(&self, head: &Response<B>) -> bool {
        head.headers()
            .get(headers::REQUEST_ID)
            .is_some_and(|id| id.as_bytes() == self.id.as_bytes())
    }

    /// Tracks a request of unknown outcome whose connection is no longer used. Its slot is freed at
    /// once, because the upstream closed the connection or sent a response on it.
    fn leave_unresolved(mut self) {
        self.guards.permit = None;
        tokio::spawn(self.watch_unresolved(std::future::pending()));
    }

    /// Tracks a sent request that timed out or whose caller went away, until it has certainly ended
    /// or [`Exchange::unresolved_timeout`] has passed. Cancels it if it is idempotent, which makes
    /// that safe.
    async fn watch_unresolved(
        mut self,
        sending: impl Future<Output = Result<Response<Incoming>, SendError>>,
    ) {
        let unresolved = self.guards.run.take().map(RunningGuard::into_unresolved);
        let permit = self.guards.permit.take();
        let ended = {
            let mut known = std::pin::pin!(self.wait_for_end(sending));
            if tokio::time::timeout(UNRESOLVED_SLOT_TIME, &mut known).await.is_ok() {
                true
            } else {
                drop(permit);
                tokio::time::timeout(self.unresolved_timeout, &mut known).await.is_ok()
            }
        };
        if let Some(unresolved) = unresolved.filter(|_| ended) {
            unresolved.remove();
        }
    }

    /// Returns when the request has certainly ended.
    async fn wait_for_end(
        &self,
        sending: impl Future<Output = Result<Response<Incoming>, SendError>>,
    ) {
        tokio::select! {
            () = self.late_response(sending) => {}
            () = self.wait_for_cancel() => {}
        }
    }

    /// Waits for the late response of an unresolved request.
    async fn late_response(
        &self,
        sending: impl Future<Output = Result<Response<Incoming>, SendError>>,
    ) {
        if self.control.is_none() {
            // Returning closes the connection, which tells the peer to cancel the request.
            return;
        }
        match sending.await {
            Ok(head) if self.has_request_id(&head) => {}
            _ => std::future::pending().await,
        }
    }

    /// Returns when the upstream has confirmed that it stopped the request.
    async fn wait_for_cancel(&self) {
        let Some(control) = self.control.as_ref().filter(|_| self.idempotent) else {
            return std::future::pending().await;
        };
        match control::cancel(control, &self.id).await {
            CancelResult::Stopped => {}
            CancelResult::NotRunning if !self.checks_fence => {}
            CancelResult::NotRunning | CancelResult::Unknown => std::future::pending().await,
        }
    }
}

/// How to continue after an attempt on one connection.
enum Next {
    /// The caller has its result.
    Done,
    /// No byte was sent: the same request may be sent on another connection.
    Reconnect(Exchange, Box<Request<OutgoingBody>>, oneshot::Sender<Outcome>),
}

fn respond(tx: oneshot::Sender<Outcome>, outcome: Outcome) {
    // If the receiver is gone, the response is dropped, which closes its connection.
    let _ = tx.send(outcome);
}

/// Called after a timeout on a reused connection. If a new connection works, the older ones of
/// `pool` are considered broken and retired.
async fn probe(pool: Arc<Pool>) {
    let start = Instant::now();
    if control::responds(&pool).await {
        pool.retire_before(start);
    }
}

/// Whether the end of the response is the end of its connection, so that a lost connection looks
/// like a complete response.
fn is_close_delimited(head: &Response<Incoming>) -> bool {
    let empty = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&head.status());
    !empty
        && !head.body().is_end_stream()
        && head.body().size_hint().exact().is_none()
        && !head.headers().contains_key(header::TRANSFER_ENCODING)
}
