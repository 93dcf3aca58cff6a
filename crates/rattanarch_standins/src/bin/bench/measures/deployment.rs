//! Present deployments of both firms.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rattanarch_standins::Firm;
use rattanarch_standins::Fleet;
use rattanarch_standins::RequestKind;
use rattanarch_standins::ServicePlan;
use rattanarch_types::Record;

use crate::BenchError;

/// Maximum wait for an expected state of a fleet.
pub(crate) const STATE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time without a change of owners after which a record counts as stable.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// Interval between two reads of a record.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Deployment of one firm and the kinds of its requests that are measured one by one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) firm: Firm,
    /// Name of the keyed service.
    pub(crate) keyed: &'static str,
    /// Number of members of the keyed service.
    pub(crate) members: usize,
    /// Name of the unkeyed service.
    pub(crate) unkeyed: &'static str,
    /// Number of upstreams of the unkeyed service.
    pub(crate) file_upstreams: usize,
    /// Data centre that is taken out and brought back.
    pub(crate) data_centre: &'static str,
    /// Reads of the keyed service and their share of the firm's requests.
    pub(crate) read: (RequestKind, f64),
    /// Downloads of the unkeyed service and their share of the firm's requests.
    pub(crate) download: (RequestKind, f64),
}

/// Deployments of both firms, with the sizes that the users gave and the request mixes of the load
/// generator.
pub(crate) const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "co-op",
        firm: Firm::Coop,
        keyed: "trade-desk",
        members: 9,
        unkeyed: "pound-files",
        file_upstreams: 4,
        data_centre: "nordkuehl",
        read: (RequestKind::Stock, 0.80),
        download: (RequestKind::Certificates, 0.05),
    },
    Deployment {
        name: "aguas-libres",
        firm: Firm::AguasLibres,
        keyed: "reservas",
        members: 8,
        unkeyed: "cartografia",
        file_upstreams: 3,
        data_centre: "centro-b",
        read: (RequestKind::Conditions, 0.75),
        download: (RequestKind::Maps, 0.05),
    },
];

impl Deployment {
    /// Starts the processes and waits until all daemons serve and the owners are stable.
    pub(crate) fn start(&self) -> Result<Fleet, BenchError> {
        let fleet = Fleet::start(&self.plans())?;
        fleet.wait_balanced(self.keyed, STATE_TIMEOUT)?;
        fleet.wait_serving(STATE_TIMEOUT)?;
        self.wait_stable(&fleet)?;
        Ok(fleet)
    }

    fn plans(&self) -> [ServicePlan; 2] {
        match self.firm {
            Firm::Coop => [
                ServicePlan::trade_desk(self.members),
                ServicePlan::pound_files(self.file_upstreams),
            ],
            Firm::AguasLibres => {
                [ServicePlan::reservas(self.members), ServicePlan::cartografia(self.file_upstreams)]
            }
        }
    }

    /// Waits until the owners of the keyed service are stable and returns its record.
    pub(crate) fn wait_stable(&self, fleet: &Fleet) -> Result<Record, BenchError> {
        let start = Instant::now();
        let mut changed = start;
        let mut newest = fleet.record(self.keyed)?;
        while changed.elapsed() < QUIET_TIME {
            if start.elapsed() > STATE_TIMEOUT {
                return Err(format!("owners of {:?} still change", self.keyed).into());
            }
            thread::sleep(POLL_INTERVAL);
            let record = fleet.record(self.keyed)?;
            if record.owners != newest.owners {
                changed = Instant::now();
            }
            newest = record;
        }
        Ok(newest)
    }
}
