//! Reads bodies of requests and answers within the gateway's byte budget.

use super::{
    memory::{Charge, Transfer, TransferEnded},
    state::Gateway,
};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use mastweir_core::gateway::BodyKind;
use std::collections::VecDeque;

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The body's end was not received.
    #[error("the body was cut off: {0}; send it again")]
    Broken(#[from] hyper::Error),
    #[error(transparent)]
    Ended(#[from] TransferEnded),
}

/// The part of a body that was read, in the pieces in which it came.
#[derive(Debug, Default)]
pub struct ReadBody {
    pieces: VecDeque<Bytes>,
    /// Charge of all pieces; `None` before the first.
    charge: Option<Charge>,
    len: usize,
}

impl ReadBody {
    /// Reads on until the end or until there are more than `max` bytes. Returns whether the end was
    /// reached. Trailers are dropped.
    ///
    /// # Errors
    ///
    /// See [`ReadError`].
    pub async fn read_on(
        &mut self,
        gateway: &Gateway,
        transfer: &Transfer,
        body: &mut (impl Body<Data = Bytes, Error = hyper::Error> + Unpin),
        max: usize,
        kind: BodyKind,
    ) -> Result<bool, ReadError> {
        let _moving = transfer.begin_move();
        while self.len <= max {
            let Some(frame) = body.frame().await else { return Ok(true) };
            let Ok(piece) = frame?.into_data() else { continue };
            let charge = transfer.charge(gateway, kind, piece.len()).await?;
            match &mut self.charge {
                Some(all) => all.join(charge),
                None => self.charge = Some(charge),
            }
            self.len += piece.len();
            self.pieces.push_back(piece);
        }
        Ok(false)
    }

    pub const fn len(&self) -> usize {
        self.len
    }

    /// Removes the first piece, with its part of the charge.
    pub fn take_piece(&mut self) -> Option<(Bytes, Charge)> {
        let piece = self.pieces.pop_front()?;
        self.len -= piece.len();
        let charge = self.charge.as_mut()?.split(piece.len());
        Some((piece, charge))
    }

    /// Returns the bytes in one piece, with their charge.
    pub fn into_whole(self) -> (Bytes, Option<Charge>) {
        let Self { mut pieces, charge, len } = self;
        if pieces.len() == 1
            && let Some(piece) = pieces.pop_front()
        {
            return (piece, charge);
        }
        let mut whole = BytesMut::with_capacity(len);
        pieces.iter().for_each(|piece| whole.extend_from_slice(piece));
        (whole.freeze(), charge)
    }
}

/// Reads the body of a request. Returns `None` if it is larger than `limit`.
///
/// # Errors
///
/// See [`ReadError`].
pub async fn read_request(
    gateway: &Gateway,
    transfer: &Transfer,
    mut body: Incoming,
    limit: usize,
) -> Result<Option<Bytes>, ReadError> {
    let mut read = ReadBody::default();
    let is_whole = read.read_on(gateway, transfer, &mut body, limit, BodyKind::Request).await?;
    if !is_whole {
        return Ok(None);
    }
    let (whole, charge) = read.into_whole();
    Ok(Some(match charge {
        Some(charge) => charge.hold(whole),
        None => whole,
    }))
}
