"""Encodes and decodes result buckets as JSON documents."""

from collections import Counter
from datetime import datetime
from typing import Any

from pydantic import BaseModel, ConfigDict

from comfreywind.report.result_bucket import ResultBucket

KEY_SEPARATOR = '/'


class BucketDocument(BaseModel):
    """Stored form of a bucket; the keys of `counts` are `queue/team`."""

    model_config = ConfigDict(extra='forbid')

    start: datetime
    span_s: int
    counts: dict[str, dict[str, int]]


def encode_buckets(buckets: list[ResultBucket]) -> dict[str, Any]:
    """Return the document that stores the buckets."""
    return {'buckets': [_encode_bucket(bucket) for bucket in buckets]}


def decode_buckets(document: Any) -> list[ResultBucket]:
    """Return the stored buckets; raise ValueError for a malformed document."""
    return [_decode_bucket(fields) for fields in document['buckets']]


def _encode_bucket(bucket: ResultBucket) -> dict[str, Any]:
    counts = {KEY_SEPARATOR.join(key): dict(counter) for key, counter in bucket.counts.items()}
    return {'start': bucket.start.isoformat(), 'span_s': bucket.span_s, 'counts': counts}


def _decode_bucket(fields: Any) -> ResultBucket:
    document = BucketDocument.model_validate(fields)
    bucket = ResultBucket(document.start, document.span_s)
    for joined_key, counts in document.counts.items():
        queue, _, team = joined_key.partition(KEY_SEPARATOR)
        bucket.counts[queue, team] = Counter(counts)
    return bucket
