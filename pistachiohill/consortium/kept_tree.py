"""The settings tree of the highest version, as the entries keep it in their own topic.

Operators give each version of the whole tree a higher number, but a write of an older version may
be carried out late and become the newest record of their topic, which the entries can't write to. A
process that starts then learns the newer version from this copy, or from another entry.
"""

import zlib

from attrs import define

from ..const import MAX_FRAME_BYTES
from ..protocol.codec import decode_record, encode_record
from ..protocol.errors import DecodeError
from ..protocol.models import TreeRecord
from .const import MAX_TREE_VERSION, NO_OFFSET


@define
class KeptTree:
    """What is known of the copy.

    Fields:
        version: Version of the copy, 0 if there is none.
        end: End of the topic as of which this is known, NO_OFFSET before the first read.
    """

    version: int = 0
    end: int = NO_OFFSET

    @property
    def is_read(self) -> bool:
        """Return whether the topic was read."""
        return self.end > NO_OFFSET

    def is_behind(self, tree_version: int) -> bool:
        """Return whether the tree in use should be written over the copy."""
        return self.is_read and tree_version > self.version


def encode_tree(tree: TreeRecord) -> bytes:
    """Return the value of the copy; compressed, as the store limits the size of a record."""
    return zlib.compress(encode_record(tree))


def decode_tree(value: bytes) -> TreeRecord:
    """Return the copy in a value; raise DecodeError if it is malformed."""
    stream = zlib.decompressobj()
    try:
        data = stream.decompress(value, MAX_FRAME_BYTES)
    except zlib.error as err:
        raise DecodeError(f"not compressed: {err}") from err
    if not stream.eof or stream.unused_data:
        raise DecodeError("truncated, too large, or followed by other bytes")
    tree = decode_record(data)
    if not isinstance(tree, TreeRecord) or not tree.nodes:
        raise DecodeError("not a settings tree")
    if not 0 < tree.version <= MAX_TREE_VERSION:
        raise DecodeError("version out of range")
    return tree
