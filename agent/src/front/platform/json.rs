//! A JSON reader for the lines of the platform's signalling; strings without escapes are borrowed.

use std::borrow::Cow;

/// Deepest nesting of values. Prevents a stack overflow by a line of nothing but brackets.
const MAX_NESTING_DEPTH: usize = 16;

/// The text is not valid JSON; holds the byte offset of the error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid JSON at byte {0}")]
pub struct JsonError(pub usize);

/// Reads JSON values from a text, one after the other.
pub struct Reader<'a> {
    text: &'a str,
    position: usize,
}

/// A value of a field: a string or a number. All other values are skipped.
#[derive(Clone, Debug, PartialEq)]
pub enum Scalar<'a> {
    Text(Cow<'a, str>),
    /// A number in the notation of the line.
    Number(&'a str),
    Other,
}

impl<'a> Scalar<'a> {
    pub fn into_text(self) -> Option<Cow<'a, str>> {
        match self {
            Scalar::Text(text) => Some(text),
            Scalar::Number(text) => Some(Cow::Borrowed(text)),
            Scalar::Other => None,
        }
    }
}

impl<'a> Reader<'a> {
    pub fn new(text: &'a str) -> Self {
        Reader { text, position: 0 }
    }

    fn error<T>(&self) -> Result<T, JsonError> {
        Err(JsonError(self.position))
    }

    /// Skips white space and returns the next byte.
    fn peek(&mut self) -> Option<u8> {
        let bytes = self.text.as_bytes();
        while bytes.get(self.position).is_some_and(|byte| matches!(byte, b' ' | b'\t' | b'\r' | b'\n')) {
            self.position += 1;
        }
        bytes.get(self.position).copied()
    }

    fn expect(&mut self, byte: u8) -> Result<(), JsonError> {
        if self.peek() != Some(byte) {
            return self.error();
        }
        self.position += 1;
        Ok(())
    }

    /// Checks that nothing but white space is left.
    pub fn end(&mut self) -> Result<(), JsonError> {
        if self.peek().is_some() {
            return self.error();
        }
        Ok(())
    }

    /// Reads an object; `member` reads the value of each name.
    pub fn object(
        &mut self,
        mut member: impl FnMut(&str, &mut Self) -> Result<(), JsonError>,
    ) -> Result<(), JsonError> {
        self.expect(b'{')?;
        if self.peek() == Some(b'}') {
            self.position += 1;
            return Ok(());
        }
        loop {
            self.peek();
            let name = self.string()?;
            self.expect(b':')?;
            member(&name, self)?;
            match self.peek() {
                Some(b',') => self.position += 1,
                Some(b'}') => {
                    self.position += 1;
                    return Ok(());
                }
                _ => return self.error(),
            }
        }
    }

    pub fn scalar(&mut self) -> Result<Scalar<'a>, JsonError> {
        match self.peek() {
            Some(b'"') => Ok(Scalar::Text(self.string()?)),
            Some(b'-' | b'0'..=b'9') => Ok(Scalar::Number(self.number()?)),
            _ => {
                self.skip(0)?;
                Ok(Scalar::Other)
            }
        }
    }

    fn number(&mut self) -> Result<&'a str, JsonError> {
        let start = self.position;
        let bytes = self.text.as_bytes();
        while bytes
            .get(self.position)
            .is_some_and(|byte| matches!(byte, b'0'..=b'9' | b'+' | b'-' | b'.' | b'e' | b'E'))
        {
            self.position += 1;
        }
        let text = &self.text[start..self.position];
        if text.parse::<f64>().is_err() {
            self.position = start;
            return self.error();
        }
        Ok(text)
    }

    fn skip(&mut self, depth: usize) -> Result<(), JsonError> {
        if depth > MAX_NESTING_DEPTH {
            return self.error();
        }
        match self.peek() {
            Some(b'"') => self.string().map(|_| ()),
            Some(b'-' | b'0'..=b'9') => self.number().map(|_| ()),
            Some(b'{') => self.object(|_, reader| reader.skip(depth + 1)),
            Some(b'[') => {
                self.position += 1;
                if self.peek() == Some(b']') {
                    self.position += 1;
                    return Ok(());
                }
                loop {
                    self.skip(depth + 1)?;
                    match self.peek() {
                        Some(b',') => self.position += 1,
                        Some(b']') => {
                            self.position += 1;
                            return Ok(());
                        }
                        _ => return self.error(),
                    }
                }
            }
            _ => {
                for word in ["true", "false", "null"] {
                    if self.text[self.position..].starts_with(word) {
                        self.position += word.len();
                        return Ok(());
                    }
                }
                self.error()
            }
        }
    }

    fn string(&mut self) -> Result<Cow<'a, str>, JsonError> {
        if self.text.as_bytes().get(self.position) != Some(&b'"') {
            return self.error();
        }
        self.position += 1;
        let mut owned: Option<String> = None;
        let mut start = self.position;
        loop {
            match self.text.as_bytes().get(self.position) {
                Some(b'"') => {
                    let part = &self.text[start..self.position];
                    self.position += 1;
                    return Ok(match owned {
                        Some(text) => Cow::Owned(text + part),
                        None => Cow::Borrowed(part),
                    });
                }
                Some(b'\\') => {
                    let text = owned.get_or_insert_with(String::new);
                    text.push_str(&self.text[start..self.position]);
                    self.position += 1;
                    let escaped = self.read_escape()?;
                    owned.get_or_insert_with(String::new).push(escaped);
                    start = self.position;
                }
                Some(0x20..) => self.position += 1,
                _ => return self.error(),
            }
        }
    }

    fn read_escape(&mut self) -> Result<char, JsonError> {
        let Some(&byte) = self.text.as_bytes().get(self.position) else { return self.error() };
        self.position += 1;
        Ok(match byte {
            b'"' | b'\\' | b'/' => char::from(byte),
            b'n' => '\n',
            b'r' => '\r',
            b't' => '\t',
            b'b' => '\u{8}',
            b'f' => '\u{c}',
            b'u' => {
                let first = self.hex4()?;
                let code = if (0xd800..0xdc00).contains(&first) {
                    if !self.text[self.position..].starts_with("\\u") {
                        return self.error();
                    }
                    self.position += 2;
                    let second = self.hex4()?;
                    if !(0xdc00..0xe000).contains(&second) {
                        return self.error();
                    }
                    0x10000 + ((first - 0xd800) << 10) + (second - 0xdc00)
                } else {
                    first
                };
                return char::from_u32(code).ok_or(JsonError(self.position));
            }
            _ => return self.error(),
        })
    }

    fn hex4(&mut self) -> Result<u32, JsonError> {
        let digits =
            self.text.as_bytes().get(self.position..self.position + 4).ok_or(JsonError(self.position))?;
        if !digits.iter().all(u8::is_ascii_hexdigit) {
            return self.error();
        }
        let code = u32::from_str_radix(&self.text[self.position..self.position + 4], 16)
            .map_err(|_| JsonError(self.position))?;
        self.position += 4;
        Ok(code)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn text(json: &str) -> Result<String, JsonError> {
        let mut reader = Reader::new(json);
        let text = reader.scalar()?.into_text().unwrap_or_default().into_owned();
        reader.end()?;
        Ok(text)
    }

    #[test]
    fn escapes_in_strings_are_decoded() {
        assert_eq!(text(r#""a\r\n\"\\\/\u00e9\ud83d\ude00z""#).as_deref(), Ok("a\r\n\"\\/é😀z"));
        assert_eq!(text("-12.5e1").as_deref(), Ok("-12.5e1"));
    }

    #[test]
    fn invalid_json_is_an_error_and_never_panics() {
        for invalid in [
            "",
            "\"",
            "\"\\",
            "\"\\u12",
            "\"\\ud800\"",
            "\"\\u00é0\"",
            "1-2",
            "tru",
            "[1,",
            "{\"a\"",
            "\"a\" 1",
        ] {
            assert!(text(invalid).is_err(), "{invalid}");
        }
        assert!(text(&"[".repeat(10_000)).is_err());
    }
}
