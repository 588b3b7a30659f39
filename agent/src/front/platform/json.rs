//! A reader of JSON text that borrows what it can, for lines of the platform's signalling.

use std::borrow::Cow;

/// Values nest no deeper than this. Guards the stack against a line of nothing but brackets.
const DEEPEST: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not JSON at byte {0}")]
pub struct NotJson(pub usize);

pub struct Reader<'a> {
    text: &'a str,
    at: usize,
}

/// A value that is no object: fields hold strings or numbers.
#[derive(Clone, Debug, PartialEq)]
pub enum Scalar<'a> {
    Text(Cow<'a, str>),
    /// A number as it was written.
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
        Reader { text, at: 0 }
    }

    fn bad<T>(&self) -> Result<T, NotJson> {
        Err(NotJson(self.at))
    }

    /// The next byte behind white space.
    fn peek(&mut self) -> Option<u8> {
        let bytes = self.text.as_bytes();
        while bytes.get(self.at).is_some_and(|byte| matches!(byte, b' ' | b'\t' | b'\r' | b'\n')) {
            self.at += 1;
        }
        bytes.get(self.at).copied()
    }

    fn expect(&mut self, byte: u8) -> Result<(), NotJson> {
        if self.peek() != Some(byte) {
            return self.bad();
        }
        self.at += 1;
        Ok(())
    }

    pub fn end(&mut self) -> Result<(), NotJson> {
        if self.peek().is_some() {
            return self.bad();
        }
        Ok(())
    }

    /// Reads an object; `member` takes the value of each name.
    pub fn object(
        &mut self,
        mut member: impl FnMut(&str, &mut Self) -> Result<(), NotJson>,
    ) -> Result<(), NotJson> {
        self.expect(b'{')?;
        if self.peek() == Some(b'}') {
            self.at += 1;
            return Ok(());
        }
        loop {
            self.peek();
            let name = self.string()?;
            self.expect(b':')?;
            member(&name, self)?;
            match self.peek() {
                Some(b',') => self.at += 1,
                Some(b'}') => {
                    self.at += 1;
                    return Ok(());
                }
                _ => return self.bad(),
            }
        }
    }

    pub fn scalar(&mut self) -> Result<Scalar<'a>, NotJson> {
        match self.peek() {
            Some(b'"') => Ok(Scalar::Text(self.string()?)),
            Some(b'-' | b'0'..=b'9') => Ok(Scalar::Number(self.number()?)),
            _ => {
                self.skip(0)?;
                Ok(Scalar::Other)
            }
        }
    }

    fn number(&mut self) -> Result<&'a str, NotJson> {
        let start = self.at;
        let bytes = self.text.as_bytes();
        while bytes
            .get(self.at)
            .is_some_and(|byte| matches!(byte, b'0'..=b'9' | b'+' | b'-' | b'.' | b'e' | b'E'))
        {
            self.at += 1;
        }
        let text = &self.text[start..self.at];
        if text.parse::<f64>().is_err() {
            self.at = start;
            return self.bad();
        }
        Ok(text)
    }

    fn skip(&mut self, depth: usize) -> Result<(), NotJson> {
        if depth > DEEPEST {
            return self.bad();
        }
        match self.peek() {
            Some(b'"') => self.string().map(|_| ()),
            Some(b'-' | b'0'..=b'9') => self.number().map(|_| ()),
            Some(b'{') => self.object(|_, reader| reader.skip(depth + 1)),
            Some(b'[') => {
                self.at += 1;
                if self.peek() == Some(b']') {
                    self.at += 1;
                    return Ok(());
                }
                loop {
                    self.skip(depth + 1)?;
                    match self.peek() {
                        Some(b',') => self.at += 1,
                        Some(b']') => {
                            self.at += 1;
                            return Ok(());
                        }
                        _ => return self.bad(),
                    }
                }
            }
            _ => {
                for word in ["true", "false", "null"] {
                    if self.text[self.at..].starts_with(word) {
                        self.at += word.len();
                        return Ok(());
                    }
                }
                self.bad()
            }
        }
    }

    fn string(&mut self) -> Result<Cow<'a, str>, NotJson> {
        if self.text.as_bytes().get(self.at) != Some(&b'"') {
            return self.bad();
        }
        self.at += 1;
        let mut owned: Option<String> = None;
        let mut start = self.at;
        loop {
            match self.text.as_bytes().get(self.at) {
                Some(b'"') => {
                    let part = &self.text[start..self.at];
                    self.at += 1;
                    return Ok(match owned {
                        Some(text) => Cow::Owned(text + part),
                        None => Cow::Borrowed(part),
                    });
                }
                Some(b'\\') => {
                    let text = owned.get_or_insert_with(String::new);
                    text.push_str(&self.text[start..self.at]);
                    self.at += 1;
                    let escaped = self.escaped()?;
                    owned.get_or_insert_with(String::new).push(escaped);
                    start = self.at;
                }
                Some(0x20..) => self.at += 1,
                _ => return self.bad(),
            }
        }
    }

    fn escaped(&mut self) -> Result<char, NotJson> {
        let Some(&byte) = self.text.as_bytes().get(self.at) else { return self.bad() };
        self.at += 1;
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
                    if !self.text[self.at..].starts_with("\\u") {
                        return self.bad();
                    }
                    self.at += 2;
                    let second = self.hex4()?;
                    if !(0xdc00..0xe000).contains(&second) {
                        return self.bad();
                    }
                    0x10000 + ((first - 0xd800) << 10) + (second - 0xdc00)
                } else {
                    first
                };
                return char::from_u32(code).ok_or(NotJson(self.at));
            }
            _ => return self.bad(),
        })
    }

    fn hex4(&mut self) -> Result<u32, NotJson> {
        let digits = self.text.as_bytes().get(self.at..self.at + 4).ok_or(NotJson(self.at))?;
        if !digits.iter().all(u8::is_ascii_hexdigit) {
            return self.bad();
        }
        let code = u32::from_str_radix(&self.text[self.at..self.at + 4], 16).map_err(|_| NotJson(self.at))?;
        self.at += 4;
        Ok(code)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn text(json: &str) -> Result<String, NotJson> {
        let mut reader = Reader::new(json);
        let text = reader.scalar()?.into_text().unwrap_or_default().into_owned();
        reader.end()?;
        Ok(text)
    }

    #[test]
    fn strings_come_as_they_were_meant() {
        assert_eq!(text(r#""a\r\n\"\\\/\u00e9\ud83d\ude00z""#).as_deref(), Ok("a\r\n\"\\/é😀z"));
        assert_eq!(text("-12.5e1").as_deref(), Ok("-12.5e1"));
    }

    #[test]
    fn what_is_no_json_is_told_and_never_panics() {
        for bad in [
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
            assert!(text(bad).is_err(), "{bad}");
        }
        assert!(text(&"[".repeat(10_000)).is_err());
    }
}
