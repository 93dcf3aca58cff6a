//! Store calls for ownership records, made directly or relayed through a peer that reaches the store.
//!
//! The store may refuse some machines and serve others. The updates of a refused machine (that its upstream leaves,
//! who takes over a lost member) need not wait: each update is conditional and each read is as recent as the call,
//! whichever daemon makes it.

use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use rattanarch_adapter::Freshness;
use rattanarch_adapter::PutOutcome;
use rattanarch_adapter::Store;
use rattanarch_adapter::StoreError;
use rattanarch_adapter::StoredObject;
use rattanarch_adapter::kind;
use rattanarch_process::random_index;
use rattanarch_types::ServiceName;
use rattanarch_types::StorePosition;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::connection;
use crate::connection::ResponseBody;
use crate::connection::SendError;
use crate::connection::read_json;
use crate::process::Shared;
use crate::request::Peer;
use crate::request::responses;

/// Path at which a daemon makes store calls for others.
pub(crate) const STORE_PATH: &str = "/rattanarch/store";

/// Timeout of a call through a peer: the timeout of the store call and a round trip.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum size of a relayed call and its response: that of the values that the store holds.
const MAX_CALL_BYTES: usize = 2 << 20;

/// A call for the record of a service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum StoreCall {
    /// Reads the record.
    Read { service: ServiceName },
    /// Replaces the record if its last change was at `position`, or creates it if that is [`StorePosition::NONE`].
    Write {
        service: ServiceName,
        #[serde(rename = "revision")]
        position: StorePosition,
        spec: Value,
    },
}

/// The store's answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum StoreReply {
    /// The object, if there is one.
    Read(Option<Stored>),
    /// Written; where the store was in its history then.
    Accepted(StorePosition),
    /// Another write came first; the stored object, if the store returned it.
    Conflict(Option<Stored>),
}

/// A record as the store holds it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Stored {
    #[serde(rename = "revision")]
    pub(crate) position: StorePosition,
    pub(crate) spec: Value,
}

/// Result of a call through a peer.
#[derive(Clone, Debug, Deserialize, Serialize)]
enum Relayed {
    Done(StoreReply),
    /// The call was not made and will not be.
    NotTaken(String),
    /// The call may have taken effect, or may still do so.
    NoAnswer(String),
}

impl From<StoredObject> for Stored {
    fn from(object: StoredObject) -> Self {
        Self { position: object.position, spec: object.spec }
    }
}

impl From<Result<StoreReply, StoreError>> for Relayed {
    fn from(result: Result<StoreReply, StoreError>) -> Self {
        match result {
            Ok(reply) => Self::Done(reply),
            Err(StoreError::NotExecuted(reason)) => Self::NotTaken(reason),
            Err(error) => Self::NoAnswer(error.to_string()),
        }
    }
}

impl From<Relayed> for Result<StoreReply, StoreError> {
    fn from(relayed: Relayed) -> Self {
        match relayed {
            Relayed::Done(reply) => Ok(reply),
            Relayed::NotTaken(reason) => Err(StoreError::NotExecuted(reason)),
            Relayed::NoAnswer(reason) => Err(StoreError::OutcomeUnknown(reason)),
        }
    }
}

/// Makes `call` directly, or through a peer if the direct call fails. While the store is considered unreachable, the
/// peer comes first, since a call to a store that does not answer takes its whole timeout.
///
/// # Errors
/// See [`StoreError`]; after [`StoreError::NotExecuted`], neither the store nor the peer has taken the call.
pub(crate) async fn call_store(
    shared: &Rc<Shared>,
    call: &StoreCall,
) -> Result<StoreReply, StoreError> {
    if shared.is_store_unreachable() {
        return match call_through_peer(shared, call).await {
            None | Some(Err(StoreError::NotExecuted(_))) => call_directly(shared, call).await,
            Some(relayed) => relayed,
        };
    }
    let direct = call_directly(shared, call).await;
    let Err(error) = direct else { return direct };
    match call_through_peer(shared, call).await {
        // The direct call may have taken effect, so its error counts.
        None | Some(Err(StoreError::NotExecuted(_))) => Err(error),
        Some(relayed) => relayed,
    }
}

async fn call_directly(shared: &Shared, call: &StoreCall) -> Result<StoreReply, StoreError> {
    let reply = execute(&shared.store, call).await;
    match &reply {
        Ok(_) => shared.record_store_result(true, &""),
        Err(error) => shared.record_store_result(false, error),
    }
    reply
}

async fn execute(store: &Store, call: &StoreCall) -> Result<StoreReply, StoreError> {
    let put = match call {
        StoreCall::Read { service } => {
            let object = store.get(kind::RECORD, service, Freshness::Current).await?;
            return Ok(StoreReply::Read(object.map(Stored::from)));
        }
        StoreCall::Write { service, position: StorePosition::NONE, spec } => {
            store.create(kind::RECORD, service, spec).await?
        }
        StoreCall::Write { service, position, spec } => {
            store.replace(kind::RECORD, service, *position, spec).await?
        }
    };
    Ok(match put {
        PutOutcome::Accepted(position) => StoreReply::Accepted(position),
        PutOutcome::Conflict(object) => StoreReply::Conflict(object.map(Stored::from)),
    })
}

/// Relays `call` through a random peer that is not backed off; `None` if there is none.
async fn call_through_peer(
    shared: &Rc<Shared>,
    call: &StoreCall,
) -> Option<Result<StoreReply, StoreError>> {
    let peer = random_peer(shared)?;
    let relayed = tokio::time::timeout(RELAY_TIMEOUT, relay(shared, &peer, call)).await;
    let no_response = || Err(StoreError::OutcomeUnknown("peer did not respond".to_owned()));
    let result = relayed.unwrap_or_else(|_| no_response());
    let outcome = result.as_ref().err().map_or("answered".to_owned(), StoreError::to_string);
    log::info!(peer:% = peer.address, outcome:% = outcome; "store called through a peer");
    Some(result)
}

fn random_peer(shared: &Shared) -> Option<Rc<Peer>> {
    let now = shared.now();
    let own = shared.settings.listen.datagrams;
    let knowledge = shared.knowledge.borrow();
    let peers: Vec<Rc<Peer>> =
        knowledge.other_members(own).map(|member| shared.peers.get(member.caller)).collect();
    let available: Vec<&Rc<Peer>> =
        peers.iter().filter(|peer| peer.backoff_left(now).is_none()).collect();
    available.get(random_index(available.len())).map(|peer| Rc::clone(peer))
}

async fn relay(shared: &Shared, peer: &Peer, call: &StoreCall) -> Result<StoreReply, StoreError> {
    let target = (&*peer.pool, peer.address);
    match connection::post::<Relayed>(shared, target, STORE_PATH, call, MAX_CALL_BYTES).await {
        Ok(relayed) => relayed.into(),
        Err(SendError::Unsent(reason)) => Err(StoreError::NotExecuted(reason)),
        Err(SendError::Broken(reason)) => Err(StoreError::OutcomeUnknown(reason)),
    }
}

/// Makes a store call for a peer, unless this daemon does not reach the store either.
pub(crate) async fn answer_store_call(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let Some(call) = read_json::<StoreCall>(shared, request, MAX_CALL_BYTES).await else {
        return responses::plain(StatusCode::BAD_REQUEST, "malformed call".to_owned());
    };
    let result = if shared.is_store_unreachable() {
        Err(StoreError::NotExecuted("not reached from here either".to_owned()))
    } else {
        call_directly(shared, &call).await
    };
    responses::serialized(&Relayed::from(result))
}
