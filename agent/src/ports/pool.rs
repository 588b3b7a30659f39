//! A pool of reusable buffers of one size. A connection holds a buffer only while it has a partial message.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

/// Maximum length of a message in bytes, without its line feed.
pub const MAX_MESSAGE_LEN: usize = 16 * 1024;
/// Size of a buffer: the longest message and the framing that any front adds to its description.
pub const BUFFER_SIZE: usize = MAX_MESSAGE_LEN + 2048;
/// Maximum number of free buffers that are retained; more are freed.
const MAX_FREE_BUFFERS: usize = 64;

pub struct Buffer {
    bytes: Box<[u8]>,
    /// The range of the bytes held.
    start: usize,
    end: usize,
}

impl Buffer {
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    pub fn len(&self) -> usize {
        self.end - self.start
    }

    /// The free space. The held bytes move to the front for this, not with each consumed message: that would
    /// be quadratic for a buffer full of tiny messages.
    pub fn free_mut(&mut self) -> &mut [u8] {
        if self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        &mut self.bytes[self.end..]
    }

    pub fn grow(&mut self, by: usize) {
        self.end = (self.end + by).min(self.bytes.len());
    }

    pub fn truncate(&mut self, len: usize) {
        self.end = self.end.min(self.start + len);
    }

    /// Removes the first bytes.
    pub fn consume(&mut self, bytes: usize) {
        self.start = (self.start + bytes).min(self.end);
    }
}

impl io::Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let free = self.free_mut();
        let part = bytes.len().min(free.len());
        free[..part].copy_from_slice(&bytes[..part]);
        self.grow(part);
        Ok(part)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Clone, Default)]
pub struct Pool(Rc<RefCell<Vec<Buffer>>>);

impl Pool {
    pub fn take(&self) -> Buffer {
        let free = self.0.borrow_mut().pop();
        free.unwrap_or_else(|| Buffer { bytes: vec![0; BUFFER_SIZE].into_boxed_slice(), start: 0, end: 0 })
    }

    pub fn put(&self, mut buffer: Buffer) {
        let mut free = self.0.borrow_mut();
        if free.len() < MAX_FREE_BUFFERS {
            (buffer.start, buffer.end) = (0, 0);
            free.push(buffer);
        }
    }
}
