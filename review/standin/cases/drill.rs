//! The store comes back from an older copy after a new holder has given its first order.

use std::path::Path;
use std::time::Duration;

use super::{config, wait_for};
use crate::fleet::Nodes;
use crate::record::Record;
use crate::runner::{Order, Runner};
use crate::store::Store;

const HOLDER_KEY: &str = "tealsaddle/holder";
/// `bounds.lease_ms` in the settings.
const LEASE: Duration = Duration::from_secs(3);
/// Age of the copy, from its making to the return of the store.
const COPY_AGE: Duration = Duration::from_secs(8);
const AWAY: Duration = Duration::from_secs(1);
/// Time after which late orders are carried out: at most 12 s.
const LATE: Duration = Duration::from_secs(12);

pub fn run(directory: &Path, has_trouble: bool) -> Result<bool, String> {
    let record = Record::open(directory)?;
    let store = Store::bind(&record)?;
    store.put("op/config", &config(7));
    let work = Duration::from_millis(20);
    let start = |number: usize| {
        Runner::start(
            &format!("i-{number}"),
            "readers",
            Some("decode"),
            work,
            &store,
            &record,
        )
    };
    let mut runners = (1..=4).map(start).collect::<Result<Vec<_>, _>>()?;
    let nodes = Nodes::start(5, &store, &record)?;
    nodes.wait_ready(Duration::from_secs(15))?;
    let first = wait_for("a first holder", Duration::from_secs(15), || {
        store.value(HOLDER_KEY)
    })?
    .0;
    record.add(&format!("the first holder is {first}"));
    // It orders half of the runners to read prompts.
    let reading = || {
        (runners
            .iter()
            .filter(|runner| runner.stage() == Some("prefill"))
            .count()
            == 2)
            .then_some(())
    };
    wait_for("the first orders", Duration::from_secs(25), reading)?;
    std::thread::sleep(Duration::from_secs(2));
    nodes
        .by_name(&first)
        .ok_or("the holder is one of the nodes")?
        .kill();
    std::thread::sleep(Duration::from_secs(1));
    // A runner is added while there is no holder. The next order gets no answer and is carried out late.
    let added = start(5)?;
    record.add("runner i-5 was added");
    runners.push(added);
    for runner in &runners {
        runner.set_orders_late(Some(LATE));
    }
    let second = || {
        store
            .value(HOLDER_KEY)
            .map(|(name, _)| name)
            .filter(|name| *name != first)
    };
    let second = wait_for("a second holder", Duration::from_secs(25), second)?;
    record.add(&format!("the second holder is {second}"));
    let given_by = |holder: &str| {
        runners
            .iter()
            .flat_map(Runner::orders)
            .any(|order| order.holder == holder)
            .then_some(())
    };
    wait_for(
        "an order of the second holder",
        Duration::from_secs(15),
        || given_by(&second),
    )?;
    // Later orders are answered: the late ones are at most half of all that are given in that time.
    for runner in &runners {
        runner.set_orders_late(None);
    }
    std::thread::sleep(Duration::from_millis(200));
    if has_trouble {
        store.drill(AWAY, COPY_AGE);
    }
    std::thread::sleep(Duration::from_secs(30));
    let mut is_broken = false;
    for runner in &runners {
        for problem in problems(&runner.orders()) {
            record.add(&format!("BROKEN at runner {}: {problem}", runner.id));
            is_broken = true;
        }
    }
    record.add(if is_broken {
        "ONE is broken"
    } else {
        "ONE held"
    });
    Ok(is_broken)
}

/// What the rule ONE finds in the orders that one runner got, in the order of their arrival.
fn problems(orders: &[Order]) -> Vec<String> {
    let mut problems = Vec::new();
    let gap = |later: &Order, earlier: &Order| {
        later
            .at
            .duration_since(earlier.at)
            .min(Duration::from_secs(999))
    };
    for (place, later) in orders.iter().enumerate() {
        for earlier in &orders[..place] {
            let (a, b) = (&earlier.holder, &later.holder);
            if a != b && earlier.fence == later.fence {
                problems.push(format!(
                    "{a} and {b} gave orders with one fence, {}",
                    later.fence
                ));
            }
            if later.fence < earlier.fence {
                problems.push(format!(
                    "fence {} of {b} after fence {} of {a}",
                    later.fence, earlier.fence
                ));
            }
            if a != b && gap(later, earlier) < LEASE {
                problems.push(format!(
                    "{a} and {b} took turns within {:?}",
                    gap(later, earlier)
                ));
            }
        }
    }
    problems
}
