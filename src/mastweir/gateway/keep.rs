//! Requests that are held back, in the platform's store.
//!
//! Gateways tell each other, but all of them may lose power at once, and a request that ends
//! servers would end two more behind each such loss. So the gateway that proves one writes it
//! into the store, and a gateway that starts reads what lies there, or asks another gateway.
//! Until it has, or had time for it, it does not call itself ready.

use super::{state::Gateway, suspects, unread::Noted};
use crate::platform::{holds::StoredHold, objects::Listed, store::StoreError};
use mastweir_core::gateway::{Accused, Fingerprint, HELD_BACK_FOR};
use slog::{info, warn};
use std::{rc::Rc, time::Duration};
use tokio::time;

/// Pauses between two calls that fail, doubled each time: the store may be away for long.
const RETRY_FIRST: Duration = Duration::from_millis(500);
const RETRY_LAST: Duration = Duration::from_secs(16);
/// Tries to write: some three minutes. Gateways that live know it all the same.
const WRITES_MAX: u32 = 15;

/// Writes a request that is held back into the store.
pub async fn write(gateway: Rc<Gateway>, request: Fingerprint) {
    let mut pause = RETRY_FIRST;
    for _ in 0..WRITES_MAX {
        let accused = gateway.suspects.borrow().accused_of(request, gateway.clock.now());
        let Some(accused) = accused else { return };
        match gateway.store.write_hold(&accused).await {
            // Another gateway was first.
            Ok(()) | Err(StoreError::Conflict) => return,
            Err(error) => {
                gateway.tally.count("store_errors_total", "holds");
                warn!(gateway.log, "hold not written"; "fingerprint" => %request, "error" => %error);
            }
        }
        time::sleep(pause).await;
        pause = (pause * 2).min(RETRY_LAST);
    }
}

/// Reads what lies in the store, and clears it of what has lapsed, once in the time that a
/// hold lasts, for ever.
pub async fn follow(gateway: &Gateway) {
    let noted = Noted::default();
    let mut pause = RETRY_FIRST;
    loop {
        match gateway.store.holds().await {
            Ok(listed) => {
                take(gateway, listed, &noted).await;
                pause = HELD_BACK_FOR;
            }
            Err(error) => {
                gateway.tally.count("store_errors_total", "holds");
                warn!(gateway.log, "holds not read"; "error" => %error);
                pause = (pause * 2).min(RETRY_LAST);
            }
        }
        time::sleep(pause).await;
    }
}

async fn take(gateway: &Gateway, listed: Listed<StoredHold>, noted: &Noted) {
    listed.unread.iter().for_each(|unread| noted.note(gateway, "holds", unread));
    let (holds, lapsed): (Vec<StoredHold>, Vec<StoredHold>) =
        listed.items.into_iter().partition(|hold| is_young(&hold.accused));
    if !holds.is_empty() {
        info!(gateway.log, "holds read"; "holds" => holds.len(), "lapsed" => lapsed.len(),
            "revision" => listed.revision);
    }
    let accused: Vec<Accused> = holds.into_iter().map(|hold| hold.accused).collect();
    suspects::told(gateway, &accused, "store");
    gateway.caught_up.set(true);
    for hold in lapsed {
        // One that another gateway has cleared or written again is none of ours.
        if let Err(error) = gateway.store.drop_hold(&hold).await {
            let request = hold.accused.request;
            info!(gateway.log, "lapsed hold not cleared"; "fingerprint" => %request,
                "error" => %error);
        }
    }
}

fn is_young(accused: &Accused) -> bool {
    Duration::from_millis(u64::from(accused.age_ms)) < HELD_BACK_FOR
}
