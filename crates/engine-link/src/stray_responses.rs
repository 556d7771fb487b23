//! Responses that belong to other calls, and arrive in the place of the one that is due.

use std::time::Duration;

use actix_http::ResponseHead;

use crate::body_decoder::{BodyDecoder, Decoded};
use crate::connection::{Connection, ReceivedHead};
use crate::error::SendError;
use crate::response_head::DecodedHead;

/// Number of stray responses that are skipped for one call.
const MAX_STRAY_RESPONSES: usize = 8;

/// Bytes of their bodies that are skipped for one call. They are not held.
const MAX_STRAY_BYTES: usize = 1 << 20;

/// Time from the first stray response to the call's own, which may not come: an engine may send another's in its stead.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Skips the responses that do not belong to the call according to `is_own`, until one does. Returns that one, and the number of those
/// skipped.
pub(crate) async fn skip_stray_responses(
    connection: &mut Connection,
    received: ReceivedHead,
    mut is_own: impl FnMut(&ResponseHead) -> bool,
) -> Result<(ReceivedHead, usize), SendError> {
    if is_own(&received.decoded.head) {
        return Ok((received, 0));
    }
    let own = receive_own(connection, received, is_own);
    let in_time = tokio::time::timeout(MAX_WAIT, own).await;
    in_time.unwrap_or_else(|_| Err(stray("only a response to another call")))
}

/// Skips `received` and those after it, until the call's own response.
async fn receive_own(
    connection: &mut Connection,
    mut received: ReceivedHead,
    mut is_own: impl FnMut(&ResponseHead) -> bool,
) -> Result<(ReceivedHead, usize), SendError> {
    let mut bytes_left = MAX_STRAY_BYTES;
    for skipped in 1..=MAX_STRAY_RESPONSES {
        skip_body(connection, received.decoded, &mut bytes_left).await?;
        received = connection.receive_head(true).await?;
        if is_own(&received.decoded.head) {
            return Ok((received, skipped));
        }
    }
    Err(stray("too many responses to other calls"))
}

/// Reads a body to its end, which its length or chunks mark.
async fn skip_body(
    connection: &mut Connection,
    decoded: DecodedHead,
    bytes_left: &mut usize,
) -> Result<(), SendError> {
    if !decoded.keeps_alive {
        return Err(stray("a response to another call ends the connection"));
    }
    let mut decoder = BodyDecoder::new(decoded.framing);
    loop {
        let part = decoder.decode(&mut connection.received);
        match part.map_err(|error| stray(&error.to_string()))? {
            Decoded::Data(chunk) => {
                let left = bytes_left.checked_sub(chunk.len());
                *bytes_left =
                    left.ok_or_else(|| stray("a response to another call is too long"))?;
            }
            Decoded::End => return Ok(()),
            Decoded::Incomplete => match connection.read_more().await {
                Ok(0) => return Err(stray("a response to another call is incomplete")),
                Ok(_) => {}
                Err(error) => return Err(stray(&error.to_string())),
            },
        }
    }
}

fn stray(message: &str) -> SendError {
    SendError::StrayResponse(message.to_owned())
}
