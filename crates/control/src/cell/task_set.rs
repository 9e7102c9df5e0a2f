//! Sets of task indices.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// A set of task indices, serialized as hexadecimal digits with the lowest index first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct TaskSet {
    /// One hexadecimal digit per four indices; the lowest index is the lowest bit.
    digits: Vec<u8>,
    count: u32,
}

impl TaskSet {
    /// Returns whether the set contains `index`.
    pub(super) fn contains(&self, index: u32) -> bool {
        self.digits
            .get(index as usize / 4)
            .is_some_and(|digit| digit & (1 << (index % 4)) != 0)
    }

    /// Adds `index` and returns whether it is new.
    pub(super) fn insert(&mut self, index: u32) -> bool {
        if self.contains(index) {
            return false;
        }
        let digit_index = index as usize / 4;
        if digit_index >= self.digits.len() {
            self.digits.resize(digit_index + 1, 0);
        }
        self.digits[digit_index] |= 1 << (index % 4);
        self.count += 1;
        true
    }

    /// Returns the number of indices.
    pub(super) const fn count(&self) -> u32 {
        self.count
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.count == 0
    }
}

impl Serialize for TaskSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let digits: String = self
            .digits
            .iter()
            .filter_map(|digit| char::from_digit(u32::from(*digit), 16))
            .collect();
        serializer.serialize_str(&digits)
    }
}

impl<'de> Deserialize<'de> for TaskSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let digits = String::deserialize(deserializer)?;
        let mut set = Self::default();
        for character in digits.chars() {
            let digit = character
                .to_digit(16)
                .and_then(|digit| u8::try_from(digit).ok())
                .ok_or_else(|| {
                    D::Error::custom(format!("'{character}' is not a hexadecimal digit"))
                })?;
            set.count += digit.count_ones();
            set.digits.push(digit);
        }
        Ok(set)
    }
}
