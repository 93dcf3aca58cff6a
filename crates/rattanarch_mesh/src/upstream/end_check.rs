//! Checks whether the upstream has ended.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use crate::connection::Checkout;
use crate::process::Shared;
use crate::upstream::in_flight::record_end;

/// Delays after a broken connection before each check. The upstream may close its listener a moment after its
/// connections.
const CHECK_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(30), Duration::from_millis(200)];

/// Checks whether the upstream has ended, after a connection broke without a response.
pub(crate) fn check_for_end(shared: &Rc<Shared>) {
    if shared.upstream.end_check.replace(true) {
        return;
    }
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        for delay in CHECK_DELAYS {
            tokio::time::sleep(delay).await;
            match shared.upstream.pool.checkout(Checkout::Fresh).await {
                Ok(connection) => shared.upstream.pool.put_back(connection),
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    record_connection_refused(&shared);
                    break;
                }
                Err(error) => log::debug!(reason:% = error; "upstream connection failed"),
            }
        }
        shared.upstream.end_check.set(false);
    });
}

/// Records that nothing listens at the upstream's address any more: its life has ended.
pub(crate) fn record_connection_refused(shared: &Shared) {
    let now = shared.now();
    let mut state = shared.upstream.state.borrow_mut();
    let Some(life) = &mut state.life else { return };
    if life.refused.is_none() {
        life.refused = Some(now);
        log::warn!(life:% = life.id; "upstream gone: connection refused");
        let key = life.key();
        drop(state);
        record_end(shared, &key);
    }
}
