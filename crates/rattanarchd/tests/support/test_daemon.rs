//! The request handling of a daemon, with views set by the test.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rattanarch_ownership::Serving;
use rattanarch_types::BootId;
use rattanarch_types::Configuration;
use rattanarch_types::KeySource;
use rattanarch_types::Member;
use rattanarch_types::Record;
use rattanarch_types::Route;
use rattanarch_types::Service;
use rattanarch_types::Sharing;
use rattanarchd::connection::RequestServer;
use rattanarchd::process::Clock;
use rattanarchd::request::RequestHandler;
use rattanarchd::request::RequestSettings;
use rattanarchd::version::Grant;
use rattanarchd::version::View;
use rattanarchd::version::Views;
use tokio::runtime::Handle;

pub const SERVICE: &str = "trade-desk";
const SLICES: u16 = 8;
const HOUR: Duration = Duration::from_secs(3600);

/// Request handling and caller server of a daemon.
pub struct TestDaemon {
    pub views: Views,
    pub handler: Arc<RequestHandler>,
    pub server: RequestServer,
    pub address: SocketAddr,
}

impl TestDaemon {
    /// Starts the only owner of all keys in front of `upstream`, with a `timeout` for each request.
    pub fn start(upstream: SocketAddr, timeout: Duration) -> Self {
        Self::start_with_settings(RequestSettings::default(), upstream, timeout)
    }

    /// Starts a daemon as `start` does, with the given request settings.
    pub fn start_with_settings(
        settings: RequestSettings,
        upstream: SocketAddr,
        timeout: Duration,
    ) -> Self {
        let settings = settings.with_service(SERVICE).with_upstream(upstream);
        let views = Views::default();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let handler = RequestHandler::new(settings, views.clone(), Clock);
        let server =
            RequestServer::start(&Handle::current(), listener, Arc::clone(&handler)).unwrap();
        views.publish(view_of(1, &[(1, address)], 1, timeout));
        Self { views, handler, server, address }
    }

    /// Starts one instance of an unkeyed service for each of `upstreams`, with boot ids from 1.
    pub fn start_unkeyed(upstreams: &[SocketAddr], timeout: Duration) -> Vec<Self> {
        let daemons: Vec<_> = upstreams.iter().map(|u| Self::start(*u, timeout)).collect();
        let members: Vec<_> = (1..).zip(daemons.iter().map(|daemon| daemon.address)).collect();
        for (me, daemon) in (1..).zip(&daemons) {
            let mut view = view_of(me, &members, 1, timeout);
            let record = Record { owners: Vec::new(), ..Record::clone(&view.serving.record) };
            view.serving.record = Arc::new(record);
            let service = view.service.take().unwrap();
            let service = Service { sharing: Sharing::Unkeyed, ..Service::clone(&service) };
            view.service = Some(Arc::new(service.clone()));
            let services = BTreeMap::from([(SERVICE.to_owned(), service)]);
            view.configuration = Arc::new(Configuration { services, ..Configuration::default() });
            daemon.views.publish(view);
        }
        daemons
    }

    /// Publishes the current view as altered by `change`.
    pub fn update_view(&self, change: impl FnOnce(&mut View)) {
        let mut view = View::clone(&self.views.current());
        change(&mut view);
        self.views.publish(view);
    }
}

/// View of member `me` with `owner` as the owner of every key.
pub fn view_of(
    me: BootId,
    members: &[(BootId, SocketAddr)],
    owner: BootId,
    timeout: Duration,
) -> View {
    let mut record = Record::new(SERVICE, SLICES);
    record.version = 1;
    for &(boot, address) in members {
        record.members.insert(boot, member(boot, address));
    }
    record.owners = vec![Some(owner); usize::from(SLICES)];
    let until = Clock.now() + HOUR;
    let route = Route::default().with_key(KeySource::Segment(1)).with_timeout(timeout);
    let service =
        Service { sharing: Sharing::Keyed(SLICES), routes: vec![route], ..Service::default() };
    let services = BTreeMap::from([(SERVICE.to_owned(), service.clone())]);
    View {
        serving: Serving {
            me,
            record: Arc::new(record),
            lease_end: Some(until),
            ..Serving::default()
        },
        configuration: Arc::new(Configuration { services, ..Configuration::default() }),
        service: Some(Arc::new(service)),
        grant: Some(Grant { fence: 7, until }),
        ..View::default()
    }
}

fn member(boot: BootId, caller: SocketAddr) -> Member {
    Member {
        instance: format!("desk-{boot}"),
        data_centre: "hafenhalle".to_owned(),
        peer: caller,
        caller,
        slots: 20,
        fence: 0,
        term: 1,
        witnesses: Vec::new(),
        leaving: false,
        releases: 0,
        link_megabits_per_s: 0,
    }
}
