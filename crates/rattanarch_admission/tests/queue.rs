//! Queue of requests that wait for a slot.

use std::time::Duration;

use quickcheck::quickcheck;
use rattanarch_admission::Queue;
use rattanarch_admission::Throughput;
use rattanarch_types::Priority;

const PRIORITIES: [Priority; 3] = [Priority::Deferrable, Priority::Normal, Priority::Urgent];

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn queue(concurrency: u32, service_ms: u64) -> Queue<u32> {
    let mut queue = Queue::new(40);
    queue.set_throughput(Throughput { concurrency, service_time: ms(service_ms) });
    queue
}

#[test]
fn urgent_first() {
    let mut queue = queue(4, 10);
    for (item, priority) in [(0, 0), (1, 1), (2, 2), (3, 1), (4, 2)] {
        assert!(queue.push(ms(0), PRIORITIES[priority], ms(2_000), item).is_empty());
    }
    let order: Vec<_> = (0..5).filter_map(|_| queue.pop(ms(1)).next).collect();
    assert_eq!(order, [2, 4, 1, 3, 0]);
    assert!(queue.is_empty());
}

#[test]
fn late_request_shed() {
    let mut queue = queue(1, 100);
    assert!(queue.push(ms(0), Priority::Normal, ms(201), 1).is_empty());
    // One slot and 100 ms per request: behind the other request, the response would come at 300 ms.
    let shed = queue.push(ms(0), Priority::Normal, ms(300), 2);
    assert_eq!(shed.len(), 1);
    assert_eq!((shed[0].item, shed[0].retry_after), (2, ms(200)));
    assert!(queue.push(ms(0), Priority::Normal, ms(301), 3).is_empty());
}

#[test]
fn delayed_by_urgent() {
    let mut queue = queue(1, 100);
    assert!(queue.push(ms(0), Priority::Deferrable, ms(250), 1).is_empty());
    let shed = queue.push(ms(0), Priority::Urgent, ms(900), 2);
    assert_eq!(shed.iter().map(|shed| shed.item).collect::<Vec<_>>(), [1]);
}

#[test]
fn slower_upstream() {
    let mut queue = queue(10, 10);
    for item in 0..10 {
        assert!(queue.push(ms(0), Priority::Normal, ms(200), item).is_empty());
    }
    queue.set_throughput(Throughput { concurrency: 1, service_time: ms(50) });
    let popped = queue.pop(ms(0));
    assert_eq!(popped.next, Some(0));
    assert_eq!(popped.shed.len(), 7);
}

#[test]
fn free_slot() {
    let mut queue = queue(1, 100);
    assert!(queue.push(ms(0), Priority::Normal, ms(250), 1).is_empty());
    // The slot is free: the request starts now, and its response comes at 240 ms.
    assert_eq!(queue.pop(ms(140)).next, Some(1));
}

#[test]
fn full_queue() {
    let mut queue = Queue::new(2);
    assert!(queue.push(ms(0), Priority::Urgent, ms(1_000), 1).is_empty());
    assert!(queue.push(ms(0), Priority::Deferrable, ms(1_000), 2).is_empty());
    let shed = queue.push(ms(0), Priority::Normal, ms(1_000), 3);
    assert_eq!(shed[0].item, 2);
    assert!(shed[0].retry_after >= ms(20));
    assert_eq!(queue.len(), 2);
}

quickcheck! {
    /// Each request leaves the queue exactly once, run or shed, and none starts after its deadline.
    fn none_lost(events: Vec<(u8, u8, u16)>) -> bool {
        let mut queue = Queue::new(8);
        let mut now = ms(0);
        let mut out = Vec::new();
        let mut late = false;
        for (item, (kind, step, time)) in events.iter().enumerate() {
            now += ms(u64::from(*step));
            queue.set_throughput(Throughput { concurrency: u32::from(kind % 4), service_time: ms(u64::from(*step)) });
            let deadline = now + ms(u64::from(*time % 1_000));
            let priority = PRIORITIES[usize::from(kind % 3)];
            let shed = queue.push(now, priority, deadline, (item, deadline));
            out.extend(shed.into_iter().map(|shed| shed.item.0));
            if kind % 2 == 0 {
                let popped = queue.pop(now);
                out.extend(popped.shed.into_iter().map(|shed| shed.item.0));
                late |= popped.next.is_some_and(|(_, deadline)| now > deadline);
                out.extend(popped.next.map(|next| next.0));
            }
        }
        while !queue.is_empty() {
            let popped = queue.pop(now);
            out.extend(popped.shed.into_iter().map(|shed| shed.item.0));
            out.extend(popped.next.map(|next| next.0));
        }
        out.sort_unstable();
        !late && out == (0..events.len()).collect::<Vec<_>>()
    }
}

/// Guards against a full queue that sheds the only request of a flow for the many of another.
#[test]
fn largest_flow_shed() {
    let mut queue = Queue::new(3);
    for (flow, item) in [(1, 1), (1, 2), (2, 3)] {
        assert!(queue.push_to_flow(ms(0), 1, Some(flow), ms(1_000), item).is_empty());
    }
    let shed = queue.push_to_flow(ms(0), 1, Some(3), ms(1_000), 4);
    assert_eq!(shed.iter().map(|shed| shed.item).collect::<Vec<_>>(), [2]);
    let order: Vec<_> = (0..3).filter_map(|_| queue.pop(ms(1)).next).collect();
    assert_eq!(order, [1, 3, 4]);
}
