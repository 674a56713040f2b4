"""Encodes and decodes the burn report as a JSON document."""

from dataclasses import asdict
from typing import Any

from pydantic import TypeAdapter

from comfreywind.report.burn_report import BurnReport

BURN_REPORT_ADAPTER = TypeAdapter(BurnReport)


def encode_burn_report(report: BurnReport) -> dict[str, Any]:
    """Return the report as a JSON document."""
    return {**asdict(report), 'at': report.at.isoformat()}


def decode_burn_report(document: object) -> BurnReport:
    """Return the report of a JSON document; raise ValueError for a malformed one."""
    return BURN_REPORT_ADAPTER.validate_python(document)
