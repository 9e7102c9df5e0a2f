//! Encoding and decoding of frames.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use toucanquay_model::{Error, ErrorKind};

use crate::Frame;

/// Maximum size of an encoded frame, in bytes: a store value of 1 MB plus its envelope.
pub const FRAME_BYTES_MAX: usize = 1_200_000;

/// Size of the length prefix of a frame, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

const BINCODE_CONFIG: Configuration<LittleEndian, Varint, Limit<FRAME_BYTES_MAX>> =
    bincode::config::standard().with_limit::<FRAME_BYTES_MAX>();

/// Encodes a frame with its length prefix.
///
/// # Errors
///
/// [`ErrorKind::BodyTooLarge`] if the frame has more than [`FRAME_BYTES_MAX`] bytes.
pub fn encode(frame: &Frame) -> Result<Bytes, Error> {
    let mut buffer = BytesMut::with_capacity(256);
    buffer.put_u32(0);
    let mut writer = buffer.writer();
    let length = bincode::serde::encode_into_std_write(frame, &mut writer, BINCODE_CONFIG)
        .map_err(|cause| Error::new(ErrorKind::Protocol).context(cause))?;
    let mut buffer = writer.into_inner();
    if length > FRAME_BYTES_MAX {
        return Err(Error::new(ErrorKind::BodyTooLarge)
            .value(format!("{length} bytes"))
            .expected(format!("a frame of at most {FRAME_BYTES_MAX} bytes")));
    }
    let prefix = u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes();
    buffer[..LENGTH_PREFIX_BYTES].copy_from_slice(&prefix);
    Ok(buffer.freeze())
}

/// Removes one frame from the front of `buffer`, or returns `None` if it is still incomplete.
///
/// # Errors
///
/// [`ErrorKind::Protocol`] if the length or the content is invalid.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>, Error> {
    if buffer.len() < LENGTH_PREFIX_BYTES {
        return Ok(None);
    }
    let length = (&buffer[..LENGTH_PREFIX_BYTES]).get_u32() as usize;
    if length > FRAME_BYTES_MAX {
        return Err(Error::new(ErrorKind::Protocol)
            .value(format!("frame of {length} bytes"))
            .expected(format!("at most {FRAME_BYTES_MAX} bytes")));
    }
    if buffer.len() < LENGTH_PREFIX_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_PREFIX_BYTES);
    let body = buffer.split_to(length);
    let (frame, consumed) = bincode::serde::decode_from_slice(&body, BINCODE_CONFIG)
        .map_err(|cause| Error::new(ErrorKind::Protocol).context(cause))?;
    if consumed != length {
        return Err(Error::new(ErrorKind::Protocol)
            .value(format!(
                "{} trailing bytes after the frame",
                length - consumed
            ))
            .expected("none"));
    }
    Ok(Some(frame))
}
